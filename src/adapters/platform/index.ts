/** Calls the platform over HTTP. */
export * from "./http_platform.ts";
export * from "./messages.ts";
