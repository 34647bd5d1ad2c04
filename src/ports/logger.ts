/** Structured logs, as the rest of the system sees them. */

/** Fields of a log line: ids of request, attempt, decision and revision. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one structured line for each call. */
export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
  /** Creates a logger that adds the fields to each of its lines. */
  child(fields: LogFields): Logger;
}
