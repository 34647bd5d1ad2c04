/** Policies: interfaces with classes, free of codecs and sockets. */
export * from "./admission/index.ts";
export * from "./fleet/index.ts";
export * from "./routing/index.ts";
