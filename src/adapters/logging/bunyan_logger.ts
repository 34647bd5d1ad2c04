/** Logger on top of bunyan, which writes JSON lines. */
import process from "node:process";
import type { Writable } from "node:stream";
import bunyan from "bunyan";
import type { LogFields, Logger } from "../../ports/index.ts";

/** Options of {@link createBunyanLogger}. */
export interface BunyanLoggerOptions {
  /** Name of the program, in every line. */
  readonly name: string;
  /** Lowest level that is written. */
  readonly level: "debug" | "info" | "warn" | "error";
  /** Destination of the lines; standard output by default. */
  readonly stream?: Writable;
}

/** Writes each log line as JSON. */
export class BunyanLogger implements Logger {
  readonly #logger: bunyan;

  constructor(logger: bunyan) {
    this.#logger = logger;
  }

  debug(fields: LogFields, message: string): void {
    this.#logger.debug(fields, message);
  }

  info(fields: LogFields, message: string): void {
    this.#logger.info(fields, message);
  }

  warn(fields: LogFields, message: string): void {
    this.#logger.warn(fields, message);
  }

  error(fields: LogFields, message: string): void {
    this.#logger.error(fields, message);
  }

  child(fields: LogFields): Logger {
    return new BunyanLogger(this.#logger.child(fields));
  }
}

/**
 * Creates a logger that writes JSON lines.
 *
 * @param options - The name, level and stream.
 * @returns The logger.
 */
export function createBunyanLogger(options: BunyanLoggerOptions): Logger {
  const logger = bunyan.createLogger({
    name: options.name,
    level: options.level,
    stream: options.stream ?? process.stdout,
    serializers: { err: bunyan.stdSerializers.err },
  });
  return new BunyanLogger(logger);
}
