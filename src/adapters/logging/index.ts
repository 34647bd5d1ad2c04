/** Writes logs. */
export * from "./rate_limited_logger.ts";
export * from "./bunyan_logger.ts";
export * from "./process_logger.ts";
export * from "./queued_stream.ts";
