#include <mallowglade/detail/core/json_text.hpp>

#include <fmt/format.h>

#include <cstdint>
#include <iterator>

namespace mallowglade::detail {

namespace {

constexpr std::string_view Replacement = "\\ufffd";
constexpr std::string_view Ellipsis = "\\u2026";

/// Lead bytes of UTF-8 sequences (RFC 3629) and the code points that need
/// sequences of this length.
struct SequenceForm {
  std::size_t Size;
  std::uint32_t FirstCodePoint;
  unsigned char Mask;
  unsigned char Lead;
};
constexpr SequenceForm Forms[] = {{1, 0, 0x80, 0x00},
                                  {2, 0x80, 0xE0, 0xC0},
                                  {3, 0x800, 0xF0, 0xE0},
                                  {4, 0x10000, 0xF8, 0xF0}};

bool isSurrogate(std::uint32_t CodePoint) {
  return CodePoint >= 0xD800 && CodePoint <= 0xDFFF;
}

/// @return size of the sequence that begins the text; 0 if it is not valid
std::size_t sequenceSize(std::string_view Text) {
  constexpr std::uint32_t LastCodePoint = 0x10FFFF;
  constexpr unsigned ContinuationBits = 6;
  const auto First = static_cast<unsigned char>(Text.front());
  for (const SequenceForm &Form : Forms) {
    if ((First & Form.Mask) != Form.Lead)
      continue;
    if (Text.size() < Form.Size)
      return 0;
    std::uint32_t CodePoint = First & static_cast<unsigned char>(~Form.Mask);
    for (std::size_t Index = 1; Index < Form.Size; ++Index) {
      const auto Byte = static_cast<unsigned char>(Text[Index]);
      if ((Byte & 0xC0U) != 0x80U)
        return 0;
      CodePoint = (CodePoint << ContinuationBits) | (Byte & 0x3FU);
    }
    const bool Valid = CodePoint >= Form.FirstCodePoint &&
                       CodePoint <= LastCodePoint && !isSurrogate(CodePoint);
    return Valid ? Form.Size : 0;
  }
  return 0;
}

} // namespace

void appendJsonText(std::string &Out, std::string_view Text) {
  constexpr unsigned char FirstPrintable = 0x20;
  const bool Cut = Text.size() > MaxLoggedTextBytes;
  Text = Text.substr(0, MaxLoggedTextBytes);
  while (!Text.empty()) {
    const std::size_t Size = sequenceSize(Text);
    const char C = Text.front();
    if (Size == 0) {
      Out += Replacement;
    } else if (C == '"' || C == '\\') {
      Out += '\\';
      Out += C;
    } else if (static_cast<unsigned char>(C) < FirstPrintable) {
      fmt::format_to(std::back_inserter(Out), "\\u{:04x}",
                     static_cast<unsigned>(C));
    } else {
      Out += Text.substr(0, Size);
    }
    Text.remove_prefix(Size == 0 ? 1 : Size);
  }
  if (Cut)
    Out += Ellipsis;
}

bool isPrintableText(std::string_view Text) {
  constexpr char Delete = '\x7f';
  while (!Text.empty()) {
    const std::size_t Size = sequenceSize(Text);
    const char C = Text.front();
    if (Size == 0 || C == Delete || (C >= '\0' && C < ' '))
      return false;
    Text.remove_prefix(Size);
  }
  return true;
}

} // namespace mallowglade::detail
