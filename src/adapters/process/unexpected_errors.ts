/** Keeps a process alive when an operation fails that nobody waits for. */
import process from "node:process";
import type { Logger } from "../../ports/index.ts";

/**
 * Logs rejected promises that nobody handles, instead of ending the process:
 * the tasks of other connections and peers go on. An error that is thrown
 * outside of any promise still ends it.
 *
 * @param logger - Log of the process.
 */
export function logUnhandledRejections(logger: Logger): void {
  process.on("unhandledRejection", (reason) => {
    const err = reason instanceof Error ? reason : new Error(String(reason));
    logger.error({ err }, "an operation that nobody waits for failed");
  });
}
