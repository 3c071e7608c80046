// A small HTTP/1.1 server and client on blocking sockets, with one thread for each connection.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmondoor::review {

struct Request {
    std::string method_;
    std::string target_;
    // By name in lower case.
    std::map<std::string, std::string> headers_;
    std::string body_;
};

// Status 0: no answer, the connection stays open. Status -1: no answer, the connection is closed.
struct Response {
    int status_ { 0 };
    std::string body_;
};

class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    // Throws std::runtime_error if the address is in use.
    Server(const std::string& ip, uint16_t port, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Closes the listening socket and all connections, as the end of a process does. Handlers that still run answer nobody.
    void stop();

private:
    void accept();
    void serve(int socket);

    Handler handler_;
    int listener_ { -1 };
    std::atomic<bool> isStopped_ { false };
    std::mutex mutex_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

// Status 0 if there was no complete answer in time.
Response exchange(const std::string& ip, uint16_t port, const Request& request, int limitMs);

// The parameter of the target's query, percent-decoded; empty if there is none.
std::string queryParameter(const std::string& target, const std::string& name);
// The target without its query.
std::string pathOf(const std::string& target);

} // namespace persimmondoor::review
