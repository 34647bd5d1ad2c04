/** Authenticated calls between entries over TCP. */
export * from "./frame_codec.ts";
export * from "./peer_link.ts";
export * from "./tcp_peer_network.ts";
