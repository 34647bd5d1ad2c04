/** An HTTP server that answers each request twice, the second time late. */
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreePort } from "./free_port.ts";

/** The second answer comes while one of the next requests is under way. */
const SECOND_ANSWER_MS = 80;
const ANSWER_MS = 60;

/** Chooses the answer to a request by its text. */
export type Answerer = (text: string) => {
  readonly status: number;
  readonly body: unknown;
};

function serveTwice(socket: Socket, answer: Answerer): void {
  socket.on("error", () => undefined);
  socket.on("data", (chunk) => {
    const { body, status } = answer(chunk.toString());
    const text = JSON.stringify(body);
    const message = `HTTP/1.1 ${status} X\r\n` +
      `content-type: application/json\r\n` +
      `content-length: ${text.length}\r\n\r\n${text}`;
    void (async () => {
      await sleep(ANSWER_MS);
      socket.write(message);
      await sleep(SECOND_ANSWER_MS);
      if (socket.writable) {
        socket.write(message);
      }
    })();
  });
}

/**
 * Serves requests for as long as a function runs.
 *
 * @param answer - Chooses the answers.
 * @param run - Gets host and port of the server.
 */
export async function withTwiceAnsweringServer(
  answer: Answerer,
  run: (address: string) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    serveTwice(socket, answer);
  });
  const port = await findFreePort();
  server.listen(port, "127.0.0.1");
  await once(server, "listening");
  try {
    await run(`127.0.0.1:${port}`);
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  }
}
