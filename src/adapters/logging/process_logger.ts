/** Sets up the log of a process: JSON lines on standard output. */
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
 * Default maximum number of lines per second with the same message: several
 * times what the most frequent decision logs in normal operation.
 */
const DEFAULT_LINES_PER_SECOND = 200;

/** Options of {@link createProcessLogger}. */
export interface ProcessLoggerOptions
  extends Pick<BunyanLoggerOptions, "name" | "level"> {
  readonly clock: Clock;
  /** Maximum number of lines per second with the same message. */
  readonly maxLinesPerSecond?: number;
}

/** The logger of a process, and the stream that it writes to. */
export interface ProcessLog {
  readonly logger: Logger;
  readonly stream: QueuedStream;
}

/**
 * Creates the logger of a process. Lines that are still queued when the process
 * exits are written then.
 *
 * @param options - Name, level and rate limit.
 * @returns The logger and its stream.
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
