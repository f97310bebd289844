#include <mallowglade/detail/scheduling/wire.hpp>

#include <mallowglade/detail/core/unpack_limit.hpp>

#include <msgpack.hpp>

#include <cmath>

namespace mallowglade {

namespace {

/// Whole numbers below this magnitude are sent as integers of at most 32 bits.
constexpr double MaxIntegerMagnitude = 1e9;

/// Calls the visitor with all fields of a message in wire order.
template <class V> void visit(V &Visitor, QueuedItem &M) {
  Visitor(M.Id, M.Waited, M.Hint, M.RequestFingerprint, M.PrefixHash, M.Avoid);
}
template <class V> void visit(V &Visitor, WorkspaceDemand &M) {
  Visitor(M.Workspace, M.Queued, M.Arrivals, M.Served, M.Lag, M.OldestRequests);
}
template <class V> void visit(V &Visitor, HeldGrant &M) {
  Visitor(M.Grant, M.Workspace, M.Upstream, M.Served, M.RequestFingerprint);
}
template <class V> void visit(V &Visitor, Completion &M) {
  Visitor(M.Cell, M.Grant, M.Served, M.End, M.Upstream, M.Signal, M.FirstToken,
          M.InterToken);
}
template <class V> void visit(V &Visitor, DemandReport &M) {
  Visitor(M.Cell, M.Session, M.Sequence, M.Full, M.Workspaces, M.Accepted,
          M.Held, M.Ended);
}
template <class V> void visit(V &Visitor, Grant &M) {
  Visitor(M.Cell, M.Id, M.Session, M.ReportSequence, M.Request, M.Workspace,
          M.Upstream, M.Address, M.Charge);
}
template <class V> void visit(V &Visitor, GrantReturn &M) {
  Visitor(M.Cell, M.Grant, M.Reason);
}
template <class V> void visit(V &Visitor, GrantProgress &M) {
  Visitor(M.Grant, M.Served, M.FirstToken, M.InterToken);
}
template <class V> void visit(V &Visitor, Progress &M) {
  Visitor(M.Cell, M.Session, M.Sequence, M.Grants, M.Ended);
}
template <class V> void visit(V &Visitor, LimitStatement &M) {
  Visitor(M.Upstream, M.Rate, M.Age);
}
template <class V> void visit(V &Visitor, LimitNotice &M) {
  Visitor(M.Cell, M.Limits);
}
template <class V> void visit(V &Visitor, WorkspaceAllotment &M) {
  Visitor(M.Workspace, M.Fraction, M.Lag);
}
template <class V> void visit(V &Visitor, Allotment &M) {
  Visitor(M.Cell, M.Session, M.Workspaces);
}

/// Writes a message as an array of its fields.
class Writer {
public:
  explicit Writer(msgpack::sbuffer &Buffer) : Out(Buffer) {}

  template <class... Fields> void operator()(Fields &...Values) {
    Out.pack_array(sizeof...(Fields));
    (write(Values), ...);
  }

  template <class T> void write(T &Value) {
    if constexpr (std::is_enum_v<T>)
      Out.pack(static_cast<std::uint8_t>(Value));
    else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>)
      Out.pack(Value);
    else
      visit(*this, Value);
  }
  // Integers and single-precision floats take 1 to 5 bytes instead of 9 for a
  // double. Seven digits suffice for service: values are absolute, so rounding
  // errors do not add up.
  void write(double &Value) {
    const bool IsInteger =
        std::floor(Value) == Value && std::abs(Value) < MaxIntegerMagnitude;
    if (IsInteger)
      Out.pack(static_cast<std::int64_t>(Value));
    else
      Out.pack(static_cast<float>(Value));
  }
  template <class Tag> void write(StringId<Tag> &Id) { Out.pack(Id.Value); }
  template <class Tag, class Rep> void write(StrongNumber<Tag, Rep> &Number) {
    write(Number.Value);
  }
  void write(Milliseconds &Span) { Out.pack(Span.count()); }
  template <class T> void write(std::optional<T> &Value) {
    if (Value)
      write(*Value);
    else
      Out.pack_nil();
  }
  template <class T> void write(std::vector<T> &List) {
    Out.pack_array(static_cast<std::uint32_t>(List.size()));
    for (T &Entry : List)
      write(Entry);
  }

private:
  msgpack::packer<msgpack::sbuffer> Out;
};

/// Reads the format of Writer; throws msgpack::type_error on other input.
class Reader {
public:
  explicit Reader(const msgpack::object &Source) : Source(&Source) {}

  template <class... Fields> void operator()(Fields &...Values) {
    if (Source->type != msgpack::type::ARRAY ||
        Source->via.array.size != sizeof...(Fields))
      throw msgpack::type_error();
    const msgpack::object *Next = Source->via.array.ptr;
    (read(*Next++, Values), ...);
  }

  template <class T> void read(const msgpack::object &From, T &Value) {
    if constexpr (std::is_enum_v<T>)
      Value = static_cast<T>(From.as<std::uint8_t>());
    else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>)
      Value = From.as<T>();
    else {
      Reader Inner(From);
      visit(Inner, Value);
    }
  }
  template <class Tag>
  void read(const msgpack::object &From, StringId<Tag> &Id) {
    Id.Value = From.as<std::string>();
  }
  template <class Tag, class Rep>
  void read(const msgpack::object &From, StrongNumber<Tag, Rep> &Number) {
    Number.Value = From.as<Rep>();
  }
  void read(const msgpack::object &From, Milliseconds &Span) {
    Span = Milliseconds(From.as<std::int64_t>());
  }
  template <class T>
  void read(const msgpack::object &From, std::optional<T> &Value) {
    if (From.is_nil())
      return;
    Value.emplace();
    read(From, *Value);
  }
  template <class T>
  void read(const msgpack::object &From, std::vector<T> &List) {
    if (From.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    List.resize(From.via.array.size);
    for (std::size_t I = 0; I < List.size(); ++I)
      read(From.via.array.ptr[I], List[I]);
  }

private:
  const msgpack::object *Source;
};

} // namespace

template <class Message> std::string encode(const Message &Value) {
  msgpack::sbuffer Buffer;
  Writer Out(Buffer);
  // visit() takes mutable references because the reader needs them.
  visit(Out, const_cast<Message &>(Value));
  return {Buffer.data(), Buffer.size()};
}

template <class Message> Result<Message> decode(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr,
                        mallowglade::detail::unpackLimit(Bytes.size()));
    Message Value;
    Reader In(Handle.get());
    visit(In, Value);
    return Value;
  } catch (const std::exception &Failure) {
    return Error{ErrorId::InvalidMessage, Failure.what(), ""};
  }
}

template std::string encode(const DemandReport &);
template std::string encode(const Grant &);
template std::string encode(const GrantReturn &);
template std::string encode(const Progress &);
template std::string encode(const Completion &);
template std::string encode(const Allotment &);
template std::string encode(const LimitNotice &);
template Result<DemandReport> decode(std::string_view);
template Result<Grant> decode(std::string_view);
template Result<GrantReturn> decode(std::string_view);
template Result<Progress> decode(std::string_view);
template Result<Completion> decode(std::string_view);
template Result<Allotment> decode(std::string_view);
template Result<LimitNotice> decode(std::string_view);

} // namespace mallowglade
