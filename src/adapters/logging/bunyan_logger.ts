/** Logs as bunyan JSON lines. */
import process from "node:process";
import type { Writable } from "node:stream";
import bunyan from "bunyan";
import type { LogFields, Logger } from "../../ports/index.ts";

/** Options of {@link createBunyanLogger}. */
export interface BunyanLoggerOptions {
  readonly name: string;
  readonly level: "debug" | "info" | "warn" | "error";
  readonly stream?: Writable;
}

/** Writes one JSON line for each call. */
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
 * @param options - Name, level, and the stream (standard output by default).
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
