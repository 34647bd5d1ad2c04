/** Port for structured logs. */

/** Fields of a log line, such as the ids of the request and the decision. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A logger that writes one structured line for each call. */
export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
  /** Creates a logger that adds the given fields to each of its lines. */
  child(fields: LogFields): Logger;
}
