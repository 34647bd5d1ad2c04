/** Finds free ports for the daemons that tests start. */
import { createServer } from "node:net";
import process from "node:process";

// Below the ephemeral port range of common systems: otherwise an outgoing
// connection of a running daemon could take the port of one that starts later.
const FIRST_PORT = 15_000;
const RANGE_COUNT = 100;
const PORTS_PER_RANGE = 150;

let triedCount = 0;

/**
 * Finds a free TCP port on loopback.
 *
 * Each port is returned only once, and concurrent test processes use different
 * ranges. Otherwise two daemons could get the same port, because a port counts
 * as free until the first daemon listens on it.
 *
 * @returns A port on which no process listens.
 * @throws Error when no free port is left in the range of this process.
 */
export async function findFreePort(): Promise<number> {
  const rangeStart = FIRST_PORT + process.pid % RANGE_COUNT * PORTS_PER_RANGE;
  while (triedCount < PORTS_PER_RANGE) {
    const port = rangeStart + triedCount;
    triedCount += 1;
    if (await isFree(port)) {
      return port;
    }
  }
  throw new Error(
    `no free port left in the range from ${rangeStart}`,
  );
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const isListening = await new Promise<boolean>((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
  if (isListening) {
    await new Promise<void>((resolve) => server.close(() => resolve()));
  }
  return isListening;
}
