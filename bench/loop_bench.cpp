//===- loop_bench.cpp - Boost.Asio against bare epoll ---------------------===//
//
// A message goes to a server on the loop under test and back. The caller's side
// is the same blocking socket for both.
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

/// Pairs of connected sockets; the first of each belongs to the caller.
std::vector<std::array<int, 2>> pairs(int64_t Count) {
  std::vector<std::array<int, 2>> Out(static_cast<size_t>(Count));
  for (auto &Each : Out)
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Each.data()) != 0)
      std::abort();
  return Out;
}

struct AsioPeer : std::enable_shared_from_this<AsioPeer> {
  AsioPeer(boost::asio::io_context &Loop, int File)
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
  auto Sockets = pairs(State.range(0));
  boost::asio::io_context Loop(1);
  for (auto &Each : Sockets)
    std::make_shared<AsioPeer>(Loop, Each[1])->wait();
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
  for (auto &Each : Sockets)
    close(Each[0]);
}

void epollEcho(benchmark::State &State) {
  auto Sockets = pairs(State.range(0));
  int Poll = epoll_create1(0);
  for (auto &Each : Sockets) {
    epoll_event Want{};
    Want.events = EPOLLIN;
    Want.data.fd = Each[1];
    epoll_ctl(Poll, EPOLL_CTL_ADD, Each[1], &Want);
  }
  std::array<char, MessageBytes> Bytes{};
  std::array<epoll_event, 64> Ready{};
  size_t Next = 0;
  for (auto _ : State) {
    int File = Sockets[Next][0];
    Next = (Next + 1) % Sockets.size();
    benchmark::DoNotOptimize(write(File, Bytes.data(), Bytes.size()));
    while (read(File, Bytes.data(), Bytes.size()) <= 0) {
      int Count = epoll_wait(Poll, Ready.data(), Ready.size(), -1);
      for (int Index = 0; Index < Count; ++Index) {
        int From = Ready[static_cast<size_t>(Index)].data.fd;
        ssize_t Got = read(From, Bytes.data(), Bytes.size());
        if (Got > 0)
          benchmark::DoNotOptimize(
              write(From, Bytes.data(), static_cast<size_t>(Got)));
      }
    }
  }
  close(Poll);
  for (auto &Each : Sockets) {
    close(Each[0]);
    close(Each[1]);
  }
}

BENCHMARK(asioEcho)->Arg(1)->Arg(400);
BENCHMARK(epollEcho)->Arg(1)->Arg(400);

} // namespace

BENCHMARK_MAIN();
