/** What the process uses, and errors that nobody handles. */
export * from "./node_process_usage.ts";
export * from "./unexpected_errors.ts";
