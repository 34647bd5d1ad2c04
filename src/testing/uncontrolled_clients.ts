/** Clients that leave their requests unfinished, or their answers unread. */
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";

/** Bound for the time of sending, in milliseconds. */
const SEND_MS = 15_000;

/** Options of {@link UncontrolledClients}. */
export interface UncontrolledClientsOptions {
  readonly host: string;
  readonly port: number;
  readonly connectionCount: number;
}

/** Connections that never read, and stay open until they are closed. */
export class UncontrolledClients {
  readonly #options: UncontrolledClientsOptions;
  readonly #sockets: Socket[] = [];

  constructor(options: UncontrolledClientsOptions) {
    this.#options = options;
  }

  /**
   * Opens the connections and sends on each of them, until all is sent, the
   * server closes the connection or takes no more, or the time is over.
   *
   * @param createBytes - Returns what the connection with this index sends.
   */
  async send(createBytes: (index: number) => Buffer): Promise<void> {
    const { host, port, connectionCount } = this.#options;
    const sent = Array.from({ length: connectionCount }, (_, index) => {
      const socket = connect({ host, port });
      this.#sockets.push(socket);
      return new Promise<void>((resolve) => {
        socket.on("error", () => resolve());
        socket.on("close", () => resolve());
        socket.write(createBytes(index), () => resolve());
      });
    });
    let timer: ReturnType<typeof setTimeout> | undefined;
    const timeout = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, SEND_MS);
    });
    await Promise.race([Promise.all(sent), timeout]);
    clearTimeout(timer);
  }

  /** Closes the connections. */
  close(): void {
    this.#sockets.splice(0).forEach((socket) => socket.destroy());
  }
}

/** What a chunked body is made of. */
export interface ChunkedBody {
  readonly chunkBytes: number;
  readonly chunkCount: number;
}

/**
 * Creates a request whose chunked body lacks its last chunk.
 *
 * @param head - Request line and headers, without the empty line.
 * @param body - Size and number of the chunks.
 */
export function createUnfinishedRequest(
  head: string,
  { chunkBytes, chunkCount }: ChunkedBody,
): Buffer {
  const chunk = `${chunkBytes.toString(16)}\r\n${" ".repeat(chunkBytes)}\r\n`;
  return Buffer.from(
    `${head}\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(chunkCount)}`,
  );
}

/**
 * Creates many requests of one connection; each second connection names a host.
 *
 * @param path - Path of the requests.
 * @param requestCount - Number of requests.
 * @param index - Index of the connection.
 */
export function createPipelinedRequests(
  path: string,
  requestCount: number,
  index: number,
): Buffer {
  const headers = index % 2 === 0 ? "" : "host: x\r\n";
  const request = `GET ${path} HTTP/1.1\r\n${headers}\r\n`;
  return Buffer.from(request.repeat(requestCount));
}
