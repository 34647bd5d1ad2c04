/** Ports for daemons that tests start. */
import { createServer } from "node:net";
import process from "node:process";

// Below the range from which systems take the ports of outgoing connections:
// a daemon that connects must not take the port of one that starts later.
const FIRST_PORT = 15_000;
const RANGE_COUNT = 100;
const PORTS_PER_RANGE = 150;

let triedCount = 0;

/**
 * Finds a free TCP port on loopback.
 *
 * A port is given once only, and test processes that run side by side take
 * theirs from different ranges: a port that is merely free may be given to two
 * daemons before the first one listens.
 *
 * @returns A port that nobody listens on.
 * @throws Error when the range of this process is used up.
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
  throw new Error(`all ports from ${rangeStart} on are used up`);
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
