/** Ports for daemons that tests start. */
import { createServer, type Server } from "node:net";

/**
 * Finds a free TCP port on loopback.
 *
 * @returns A port that was free a moment ago.
 */
export async function findFreePort(): Promise<number> {
  const [port] = await findFreePorts(1);
  if (port === undefined) {
    throw new Error("no port is free");
  }
  return port;
}

/**
 * Finds several free TCP ports on loopback, all different.
 *
 * @param count - How many.
 * @returns Ports that were free a moment ago.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => openServer()),
  );
  const ports = servers.map(readPort);
  await Promise.all(servers.map(closeServer));
  return ports;
}

function openServer(): Promise<Server> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

function readPort(server: Server): number {
  const address = server.address();
  if (typeof address !== "object" || address === null) {
    throw new Error("a server that listens has no port");
  }
  return address.port;
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
