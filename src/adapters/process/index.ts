/** Reads what the process uses. */
export * from "./node_process_usage.ts";
