/** Logs. */
export * from "./bunyan_logger.ts";
