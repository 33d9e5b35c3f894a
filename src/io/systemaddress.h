#pragma once

#include "base/endpoint.h"

#include <netinet/in.h>

namespace damaskhall {

/// Returns the endpoint as the socket interface takes it. Thread safety: reentrant.
inline sockaddr_in toSystem(Endpoint endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

/// Returns the endpoint of an IPv4 socket address. Thread safety: reentrant.
inline Endpoint fromSystem(const sockaddr_in &address)
{
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

} // namespace damaskhall
