/** The log of a process: JSON lines on standard output. */
import process from "node:process";
import type { Clock, Logger } from "../../ports/index.ts";
import { RateLimitedLogger } from "./rate_limited_logger.ts";
import {
  type BunyanLoggerOptions,
  createBunyanLogger,
} from "./bunyan_logger.ts";
import { QueuedStream } from "./queued_stream.ts";

const STANDARD_OUTPUT = 1;
/**
 * Lines of one message that are written in a second by default: several times
 * what the busiest decision of a calm day brings.
 */
const DEFAULT_LINES_PER_SECOND = 200;

/** Options of {@link createProcessLogger}. */
export interface ProcessLoggerOptions
  extends Pick<BunyanLoggerOptions, "name" | "level"> {
  readonly clock: Clock;
  /** Lines of one message that are written in a second. */
  readonly maxLinesPerSecond?: number;
}

/** The log of a process, and the stream below it. */
export interface ProcessLog {
  readonly logger: Logger;
  readonly stream: QueuedStream;
}

/**
 * Creates the log of a process.
 *
 * @param options - Name, level and bound.
 */
export function createProcessLogger(options: ProcessLoggerOptions): ProcessLog {
  const { clock, maxLinesPerSecond = DEFAULT_LINES_PER_SECOND } = options;
  const stream = new QueuedStream({ clock, fileDescriptor: STANDARD_OUTPUT });
  process.on("exit", () => stream.flushAtExit());
  const inner = createBunyanLogger({
    ...options,
    stream: stream.toWritable(),
  });
  return {
    logger: new RateLimitedLogger({ inner, clock, maxLinesPerSecond }),
    stream,
  };
}
