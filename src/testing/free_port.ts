/** Ports for daemons that tests start. */
import { createServer } from "node:net";
import { SeededRandom } from "../adapters/random/index.ts";

// Below the range from which systems take the ports of outgoing connections:
// a daemon that connects must not take the port of one that starts later.
const FIRST_PORT = 15_000;
const PORT_COUNT = 15_000;

const random = SeededRandom.fromMachine();

/**
 * Finds a free TCP port on loopback.
 *
 * @returns A port that was free a moment ago.
 */
export async function findFreePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + random.nextInt(PORT_COUNT);
    if (await isFree(port)) {
      return port;
    }
  }
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
