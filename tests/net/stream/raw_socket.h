// Blocking sockets for clients that send raw bytes.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "common/settings.h"

namespace ramppond {

/// A connection that stands, with a request in it that the server's loop has not seen.
inline int connectAndSend(const Endpoint& endpoint, const std::string& bytes) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  ::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  const int client = ::socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ(::connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  EXPECT_EQ(::send(client, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
  return client;
}

/// What came until the peer's end; closes the connection.
inline std::string readToEnd(int client) {
  std::string received;
  char buffer[4096];
  for (ssize_t size = 0; (size = ::recv(client, buffer, sizeof buffer, 0)) > 0;) {
    received.append(buffer, static_cast<std::size_t>(size));
  }
  ::close(client);
  return received;
}

}  // namespace ramppond
