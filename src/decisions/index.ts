/** Policies: interfaces with classes, free of codecs and sockets. */
export * from "./admission/index.ts";
export * from "./counting/index.ts";
export * from "./fleet/index.ts";
export * from "./health/index.ts";
export * from "./overload/index.ts";
export * from "./retries/index.ts";
export * from "./routing/index.ts";
