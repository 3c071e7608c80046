#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace persimmondoor::review {

static sockaddr_in addressOf(const std::string& ip, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("not an address: " + ip);
    return address;
}

static void setNoDelay(int socket)
{
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static bool writeAll(int socket, const std::string& text)
{
    size_t written = 0;
    while (written < text.size()) {
        ssize_t count = ::send(socket, text.data() + written, text.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<size_t>(count);
    }
    return true;
}

static std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

namespace {

    using TimePoint = std::chrono::steady_clock::time_point;

    struct Message {
        std::string firstLine_;
        std::map<std::string, std::string> headers_;
        std::string body_;
    };

    // Reads messages with a Content-Length from a socket.
    class Reader {
    public:
        explicit Reader(int socket)
            : socket_(socket)
        {
        }

        std::optional<Message> read(std::optional<TimePoint> end)
        {
            size_t headerEnd = std::string::npos;
            while ((headerEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
                if (!fill(end))
                    return std::nullopt;
            }
            Message message = parseHeader(buffer_.substr(0, headerEnd + 2));
            buffer_.erase(0, headerEnd + 4);
            auto length = message.headers_.find("content-length");
            size_t bytes = length == message.headers_.end() ? 0 : std::stoul(length->second);
            while (buffer_.size() < bytes) {
                if (!fill(end))
                    return std::nullopt;
            }
            message.body_ = buffer_.substr(0, bytes);
            buffer_.erase(0, bytes);
            return message;
        }

    private:
        static Message parseHeader(const std::string& text)
        {
            Message message;
            size_t lineEnd = text.find("\r\n");
            message.firstLine_ = text.substr(0, lineEnd);
            for (size_t start = lineEnd + 2; start < text.size(); start = lineEnd + 2) {
                lineEnd = text.find("\r\n", start);
                std::string line = text.substr(start, lineEnd - start);
                size_t colon = line.find(':');
                if (colon == std::string::npos)
                    continue;
                size_t value = line.find_first_not_of(' ', colon + 1);
                message.headers_[toLower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
            }
            return message;
        }

        bool fill(std::optional<TimePoint> end)
        {
            pollfd waiting { socket_, POLLIN, 0 };
            int limitMs = -1;
            if (end)
                limitMs = std::max(0, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(*end - std::chrono::steady_clock::now()).count()));
            if (::poll(&waiting, 1, limitMs) <= 0)
                return false;
            char bytes[65536];
            ssize_t count = ::recv(socket_, bytes, sizeof(bytes), 0);
            if (count <= 0)
                return false;
            buffer_.append(bytes, static_cast<size_t>(count));
            return true;
        }

        int socket_;
        std::string buffer_;
    };

} // namespace

Server::Server(const std::string& ip, uint16_t port, Handler handler)
    : handler_(std::move(handler))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(ip, port);
    bool isBound = ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 && ::listen(listener_, 1024) == 0;
    if (!isBound) {
        ::close(listener_);
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    acceptor_ = std::thread([this] { accept(); });
}

Server::~Server()
{
    stop();
    std::vector<std::thread> threads;
    {
        std::lock_guard lock(mutex_);
        threads.swap(threads_);
    }
    for (std::thread& thread : threads)
        thread.join();
}

void Server::stop()
{
    if (isStopped_.exchange(true))
        return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    std::lock_guard lock(mutex_);
    for (int socket : sockets_)
        ::shutdown(socket, SHUT_RDWR);
}

void Server::accept()
{
    while (!isStopped_) {
        int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            continue;
        }
        setNoDelay(socket);
        std::lock_guard lock(mutex_);
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void Server::serve(int socket)
{
    Reader reader(socket);
    while (!isStopped_) {
        std::optional<Message> message = reader.read(std::nullopt);
        if (!message)
            break;
        size_t space = message->firstLine_.find(' ');
        size_t secondSpace = message->firstLine_.find(' ', space + 1);
        Request request { message->firstLine_.substr(0, space), message->firstLine_.substr(space + 1, secondSpace - space - 1), std::move(message->headers_), std::move(message->body_) };
        Response response = handler_(request);
        if (isStopped_ || response.status_ < 0)
            break;
        if (response.status_ == 0)
            continue;
        std::string text = "HTTP/1.1 " + std::to_string(response.status_) + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body_.size()) + "\r\n\r\n" + response.body_;
        if (!writeAll(socket, text))
            break;
    }
    std::lock_guard lock(mutex_);
    std::erase(sockets_, socket);
    ::close(socket);
}

Response exchange(const std::string& ip, uint16_t port, const Request& request, int limitMs)
{
    TimePoint end = std::chrono::steady_clock::now() + std::chrono::milliseconds(limitMs);
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, port);
    Response response;
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
        setNoDelay(socket);
        std::string text = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
        for (const auto& [name, value] : request.headers_)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n\r\n" + request.body_;
        std::optional<Message> message;
        if (writeAll(socket, text))
            message = Reader(socket).read(end);
        if (message && message->firstLine_.size() >= 12)
            response = { std::stoi(message->firstLine_.substr(9, 3)), message->body_ };
    }
    ::close(socket);
    return response;
}

static std::string percentDecode(const std::string& text)
{
    std::string decoded;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16)));
            index += 2;
        } else {
            decoded.push_back(text[index]);
        }
    }
    return decoded;
}

std::string pathOf(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

std::string queryParameter(const std::string& target, const std::string& name)
{
    size_t mark = target.find('?');
    std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
    for (size_t start = 0; start < query.size();) {
        size_t end = std::min(query.find('&', start), query.size());
        std::string pair = query.substr(start, end - start);
        size_t equals = pair.find('=');
        if (equals != std::string::npos && pair.substr(0, equals) == name)
            return percentDecode(pair.substr(equals + 1));
        start = end + 1;
    }
    return "";
}

} // namespace persimmondoor::review
