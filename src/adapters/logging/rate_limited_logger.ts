/** Limits the rate of log lines under load. */
import type { Clock, LogFields, Logger } from "../../ports/index.ts";

const WINDOW_MS = 1_000;

type Level = "debug" | "info" | "warn" | "error";

/** Counts of one message within one window of {@link WINDOW_MS}. */
interface Window {
  startedMs: number;
  lineCount: number;
  omittedCount: number;
}

/** Options of {@link RateLimitedLogger}. */
export interface RateLimitedLoggerOptions {
  readonly inner: Logger;
  readonly clock: Clock;
  /** Maximum number of lines per second with the same message. */
  readonly maxLinesPerSecond: number;
}

/**
 * Limits the lines per second for each message. The next line with the same
 * message reports how many were omitted, in the field `omittedCount`.
 */
export class RateLimitedLogger implements Logger {
  readonly #options: RateLimitedLoggerOptions;
  /**
   * Windows by message, shared with all children. The map stays small because
   * messages are constants.
   */
  readonly #windows: Map<string, Window>;

  /**
   * @param options - The logger that writes the lines, and the limit.
   * @param windows - Windows by message, shared with the parent.
   */
  constructor(
    options: RateLimitedLoggerOptions,
    windows: Map<string, Window> = new Map(),
  ) {
    this.#options = options;
    this.#windows = windows;
  }

  debug(fields: LogFields, message: string): void {
    this.#write("debug", fields, message);
  }

  info(fields: LogFields, message: string): void {
    this.#write("info", fields, message);
  }

  warn(fields: LogFields, message: string): void {
    this.#write("warn", fields, message);
  }

  error(fields: LogFields, message: string): void {
    this.#write("error", fields, message);
  }

  child(fields: LogFields): Logger {
    const inner = this.#options.inner.child(fields);
    return new RateLimitedLogger({ ...this.#options, inner }, this.#windows);
  }

  #write(level: Level, fields: LogFields, message: string): void {
    const { inner, maxLinesPerSecond } = this.#options;
    const window = this.#findWindow(message);
    if (window.lineCount >= maxLinesPerSecond) {
      window.omittedCount += 1;
      return;
    }
    window.lineCount += 1;
    const { omittedCount } = window;
    window.omittedCount = 0;
    inner[level](
      omittedCount === 0 ? fields : { ...fields, omittedCount },
      message,
    );
  }

  #findWindow(message: string): Window {
    const nowMs = this.#options.clock.monotonicMs();
    const current = this.#windows.get(message);
    if (current !== undefined && nowMs - current.startedMs < WINDOW_MS) {
      return current;
    }
    const omittedCount = current?.omittedCount ?? 0;
    const window = { startedMs: nowMs, lineCount: 0, omittedCount };
    this.#windows.set(message, window);
    return window;
  }
}
