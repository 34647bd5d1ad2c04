/** Authenticated calls between entries over TCP. */
import { createServer, type Server, type Socket } from "node:net";
import { Result } from "true-myth";
import * as v from "valibot";
import { createFailure, type Failure } from "../../domain/index.ts";
import type {
  Clock,
  Logger,
  Metrics,
  PeerCallOptions,
  PeerHandler,
  PeerNetwork,
} from "../../ports/index.ts";
import type { TaskGroup } from "../../tasks/index.ts";
import { encodeFrame, FrameReader } from "./frame_codec.ts";
import { acceptHandshake } from "./handshake.ts";
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  MAX_HANDSHAKE_FRAME_BYTES,
  MAX_RUNNING_CALLS,
  MAX_UNAUTHENTICATED_CONNECTIONS,
  MAX_UNSENT_BYTES,
} from "./limits.ts";
import { type CallMessage, callSchema } from "./messages.ts";
import { type PeerAddress, PeerLink } from "./peer_link.ts";

/** Options of {@link TcpPeerNetwork}. */
export interface TcpPeerNetworkOptions {
  readonly entryId: string;
  /** Shared by all entries of the deployment. */
  readonly secret: string;
  readonly host: string;
  readonly port: number;
  readonly peers: readonly PeerAddress[];
  /**
   * Finds the address of a peer that is not in `peers`. Without this function,
   * such a peer is unreachable.
   */
  readonly findPeer?: (peerId: string) => PeerAddress | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tasks: TaskGroup;
}

/**
 * Makes and serves authenticated calls over TCP. Each incoming connection and
 * each peer has a task of its own.
 */
export class TcpPeerNetwork implements PeerNetwork {
  readonly #options: TcpPeerNetworkOptions;
  readonly #links = new Map<string, PeerLink>();
  readonly #handlers = new Map<string, PeerHandler>();
  readonly #server: Server;
  #unauthenticatedCount = 0;

  constructor(options: TcpPeerNetworkOptions) {
    this.#options = options;
    this.#server = createServer(
      { noDelay: true },
      (socket) => this.#startConnection(socket),
    );
    for (const peer of options.peers) {
      this.#links.set(peer.entryId, new PeerLink({ ...options, peer }));
    }
  }

  /**
   * Starts listening, and starts one task for each peer.
   *
   * @returns Resolves when the port is open.
   */
  async start(): Promise<void> {
    const { host, port, tasks } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    for (const [peerId, link] of this.#links) {
      tasks.start(`peer ${peerId}`, (signal) => link.run(signal));
    }
    tasks.start("peer listener", (signal) => this.#closeOnAbort(signal));
  }

  async call(
    peerId: string,
    method: string,
    body: unknown,
    options: PeerCallOptions,
  ): Promise<Result<unknown, Failure>> {
    const link = this.#links.get(peerId) ?? this.#addLink(peerId);
    if (link === undefined) {
      return Result.err(
        createFailure(
          "peerUnreachable",
          `entry ${peerId} is not a configured peer`,
          {
            remedy: "add the entry to the setting 'peers'",
          },
        ),
      );
    }
    return await link.call(method, body, options);
  }

  #addLink(peerId: string): PeerLink | undefined {
    const { findPeer, tasks } = this.#options;
    const peer = findPeer?.(peerId);
    if (peer === undefined) {
      return undefined;
    }
    const link = new PeerLink({ ...this.#options, peer });
    this.#links.set(peerId, link);
    tasks.start(`peer ${peerId}`, (signal) => link.run(signal));
    return link;
  }

  handle(method: string, handler: PeerHandler): void {
    this.#handlers.set(method, handler);
  }

  #startConnection(socket: Socket): void {
    socket.on("error", () => undefined);
    if (this.#unauthenticatedCount >= MAX_UNAUTHENTICATED_CONNECTIONS) {
      socket.destroy();
      return;
    }
    this.#options.tasks.start(
      "peer connection",
      (signal) => this.#serveConnection(socket, signal),
    );
  }

  async #serveConnection(socket: Socket, signal: AbortSignal): Promise<void> {
    const close = () => socket.destroy();
    signal.addEventListener("abort", close, { once: true });
    try {
      const reader = new FrameReader(socket, MAX_HANDSHAKE_FRAME_BYTES);
      const peerId = await this.#authenticate(socket, reader);
      reader.maxFrameBytes = MAX_FRAME_BYTES;
      await this.#serveCalls(peerId, socket, reader);
    } catch (error) {
      this.#options.logger.warn(
        { remoteHost: socket.remoteAddress, err: error },
        "closed a peer connection after an error",
      );
    } finally {
      signal.removeEventListener("abort", close);
      socket.destroy();
    }
  }

  async #authenticate(socket: Socket, reader: FrameReader): Promise<string> {
    const { entryId, secret, clock } = this.#options;
    const authenticated = new AbortController();
    this.#unauthenticatedCount += 1;
    // The timeout covers the whole handshake, so that a client that sends bytes
    // slowly cannot keep an unauthenticated connection open.
    void clock.sleep(HANDSHAKE_TIMEOUT_MS, authenticated.signal).then(() => {
      if (!authenticated.signal.aborted) {
        socket.destroy();
      }
    });
    try {
      return await acceptHandshake({ entryId, secret, socket, reader });
    } finally {
      authenticated.abort();
      this.#unauthenticatedCount -= 1;
    }
  }

  async #serveCalls(
    peerId: string,
    socket: Socket,
    reader: FrameReader,
  ): Promise<void> {
    let runningCount = 0;
    for (;;) {
      const bytesReadBefore = socket.bytesRead;
      const message = await reader.read();
      if (message === undefined) {
        return;
      }
      if (runningCount >= MAX_RUNNING_CALLS) {
        throw new RangeError(
          `peer ${peerId} reached the limit of ${runningCount} running calls`,
        );
      }
      this.#options.metrics.countControlBytes(
        "received",
        socket.bytesRead - bytesReadBefore,
      );
      const call = v.parse(callSchema, message);
      runningCount += 1;
      this.#options.tasks.start(`call ${call.method}`, async () => {
        await this.#answerCall(peerId, socket, call);
        runningCount -= 1;
      });
    }
  }

  async #answerCall(
    peerId: string,
    socket: Socket,
    call: CallMessage,
  ): Promise<void> {
    const answer = await this.#runHandler(peerId, call);
    const frame = encodeFrame({
      type: "answer",
      callId: call.callId,
      ...(answer.isOk ? { value: answer.value } : { failure: answer.error }),
    });
    this.#options.metrics.countControlBytes("sent", frame.length);
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      socket.destroy();
    }
    if (!socket.destroyed) {
      socket.write(frame);
    }
  }

  async #runHandler(
    peerId: string,
    call: CallMessage,
  ): Promise<Result<unknown, Failure>> {
    const handler = this.#handlers.get(call.method);
    if (handler === undefined) {
      return Result.err(
        createFailure(
          "unknownKind",
          `no handler for the method ${call.method}`,
        ),
      );
    }
    try {
      return await handler(peerId, call.body);
    } catch (error) {
      this.#options.logger.error(
        { peerId, method: call.method, err: error },
        "the handler of a peer call threw an error",
      );
      return Result.err(
        createFailure(
          "internal",
          `the handler of ${call.method} threw an error`,
        ),
      );
    }
  }

  async #closeOnAbort(signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}
