/** Ports for daemons that tests start. */
import { createServer } from "node:net";

/**
 * Finds a free TCP port on loopback.
 *
 * @returns A port that was free a moment ago.
 */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = server.address();
  await new Promise<void>((resolve) => server.close(() => resolve()));
  if (typeof address !== "object" || address === null) {
    throw new Error("no port is free");
  }
  return address.port;
}
