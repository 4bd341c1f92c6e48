//===- loop_bench.cpp - Boost.Asio against bare epoll ---------------------===//
//
// Measures the round trip of one message to an echo server on the event loop
// under test. Both benchmarks use the same socket code on the client side.
//
//===----------------------------------------------------------------------===//

#include <array>
#include <benchmark/benchmark.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <memory>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

using ErrorCode = boost::system::error_code;

constexpr size_t MessageBytes = 128;

/// Creates connected socket pairs; the first socket of each is the client's.
std::vector<std::array<int, 2>> makeSocketPairs(int64_t Count) {
  std::vector<std::array<int, 2>> Result(static_cast<size_t>(Count));
  for (auto &Pair : Result)
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Pair.data()) != 0)
      std::abort();
  return Result;
}

struct AsioServer : std::enable_shared_from_this<AsioServer> {
  AsioServer(boost::asio::io_context &Loop, int File)
      : Socket(Loop, boost::asio::local::stream_protocol(), File) {}

  void wait() {
    auto Self = this->shared_from_this();
    this->Socket.async_wait(boost::asio::socket_base::wait_read,
                            [Self](const ErrorCode &Error) {
                              if (!Error)
                                Self->echo();
                            });
  }

  void echo() {
    static std::array<char, MessageBytes> Bytes;
    ErrorCode Error;
    size_t Count = this->Socket.read_some(boost::asio::buffer(Bytes), Error);
    if (!Error)
      this->Socket.write_some(boost::asio::buffer(Bytes.data(), Count), Error);
    this->wait();
  }

  boost::asio::local::stream_protocol::socket Socket;
};

void asioEcho(benchmark::State &State) {
  auto Sockets = makeSocketPairs(State.range(0));
  boost::asio::io_context Loop(1);
  for (auto &Pair : Sockets)
    std::make_shared<AsioServer>(Loop, Pair[1])->wait();
  Loop.poll();
  std::array<char, MessageBytes> Bytes{};
  size_t Next = 0;
  for (auto _ : State) {
    int File = Sockets[Next][0];
    Next = (Next + 1) % Sockets.size();
    benchmark::DoNotOptimize(write(File, Bytes.data(), Bytes.size()));
    while (read(File, Bytes.data(), Bytes.size()) <= 0)
      Loop.run_one();
  }
  Loop.stop();
  for (auto &Pair : Sockets)
    close(Pair[0]);
}

void epollEcho(benchmark::State &State) {
  auto Sockets = makeSocketPairs(State.range(0));
  int EpollFile = epoll_create1(0);
  for (auto &Pair : Sockets) {
    epoll_event Interest{};
    Interest.events = EPOLLIN;
    Interest.data.fd = Pair[1];
    epoll_ctl(EpollFile, EPOLL_CTL_ADD, Pair[1], &Interest);
  }
  std::array<char, MessageBytes> Bytes{};
  std::array<epoll_event, 64> Ready{};
  size_t Next = 0;
  for (auto _ : State) {
    int File = Sockets[Next][0];
    Next = (Next + 1) % Sockets.size();
    benchmark::DoNotOptimize(write(File, Bytes.data(), Bytes.size()));
    while (read(File, Bytes.data(), Bytes.size()) <= 0) {
      int Count = epoll_wait(EpollFile, Ready.data(), Ready.size(), -1);
      for (int Index = 0; Index < Count; ++Index) {
        int ServerFile = Ready[static_cast<size_t>(Index)].data.fd;
        ssize_t Received = read(ServerFile, Bytes.data(), Bytes.size());
        if (Received > 0)
          benchmark::DoNotOptimize(
              write(ServerFile, Bytes.data(), static_cast<size_t>(Received)));
      }
    }
  }
  close(EpollFile);
  for (auto &Pair : Sockets) {
    close(Pair[0]);
    close(Pair[1]);
  }
}

BENCHMARK(asioEcho)->Arg(1)->Arg(400);
BENCHMARK(epollEcho)->Arg(1)->Arg(400);

} // namespace

BENCHMARK_MAIN();
