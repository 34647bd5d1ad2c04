/** Keeps the number of log lines bounded under load. */
import type { Clock, LogFields, Logger } from "../../ports/index.ts";

const WINDOW_MS = 1_000;

type Level = "debug" | "info" | "warn" | "error";

interface Window {
  startedMs: number;
  lineCount: number;
  omittedCount: number;
}

/** Options of {@link RateLimitedLogger}. */
export interface RateLimitedLoggerOptions {
  readonly inner: Logger;
  readonly clock: Clock;
  /** Lines of one message that are written in a second. */
  readonly maxLinesPerSecond: number;
}

/**
 * Writes a bounded number of lines of each message a second. The next line of
 * the message says how many were left out.
 */
export class RateLimitedLogger implements Logger {
  readonly #options: RateLimitedLoggerOptions;
  /** Shared with all children; messages are constants, so it stays small. */
  readonly #windows: Map<string, Window>;

  /**
   * @param options - Where lines go, and the bound.
   * @param windows - Counts by message, shared with the parent.
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
