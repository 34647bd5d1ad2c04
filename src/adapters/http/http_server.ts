/** HTTP server that routes requests to handlers, with one task per request. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import findMyWay, { type HTTPMethod } from "find-my-way";
import { LongestWaitPolicy } from "../../decisions/overload/index.ts";
import {
  type ConnectionLimits,
  createFailure,
  DEFAULT_CONNECTION_LIMITS,
} from "../../domain/index.ts";
import type { Clock, ConnectionMetrics, Logger } from "../../ports/index.ts";
import { Notifier, type TaskGroup } from "../../tasks/index.ts";
import { NoopConnectionMetrics } from "../metrics/noop_metrics.ts";
import type { Connection } from "./connection.ts";
import { ConnectionGuard } from "./connection_guard.ts";
import {
  closeAfterResponse,
  createOverloaded,
  type Exchange,
  findHeadFailure,
  sendFailure,
} from "./exchange.ts";
import { createUnroutedFailure, parseTarget } from "./request_target.ts";

const MAX_HEADER_BYTES = 16 * 1_024;
const HEADERS_TIMEOUT_MS = 10_000;
const IDLE_CONNECTION_MS = 5_000;

// Passing a reason to `abort` avoids creating an error with a stack trace for
// each request.
const EXCHANGE_ENDED = "the exchange has ended";

/** Handles one request; resolves when the response has been written. */
export type ExchangeHandler = (exchange: Exchange) => Promise<void>;

/** Options of {@link HttpServer}. */
export interface HttpServerOptions {
  readonly host: string;
  readonly port: number;
  /** Keep-alive timeout of idle connections, in milliseconds. */
  readonly idleConnectionMs?: number;
  readonly connectionLimits?: ConnectionLimits;
  readonly metrics?: ConnectionMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tasks: TaskGroup;
}

/** An exchange whose handler has not returned yet. */
interface RunningExchange {
  readonly response: ServerResponse;
  readonly abortController: AbortController;
}

/** Routes requests to handlers. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #router = findMyWay({
    ignoreTrailingSlash: true,
    maxParamLength: 200,
  });
  readonly #methodsByPath = new Map<string, Set<HTTPMethod>>();
  readonly #server: Server;
  readonly #guard: ConnectionGuard;
  readonly #running = new Set<RunningExchange>();
  readonly #ended = new Notifier();
  readonly #stopping = new AbortController();

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#guard = new ConnectionGuard({
      ...options,
      limits: options.connectionLimits ?? DEFAULT_CONNECTION_LIMITS,
      policy: new LongestWaitPolicy(),
      metrics: options.metrics ?? new NoopConnectionMetrics(),
      countRunning: () => this.#running.size,
    });
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: options.idleConnectionMs ?? IDLE_CONNECTION_MS,
      noDelay: true,
      // Checked here, so that these requests count like all others.
      requireHostHeader: false,
    }, (request, response) => this.#startExchange(request, response));
    this.#server.on("connection", (socket) => this.#guard.open(socket));
  }

  /**
   * Adds a route.
   *
   * @param methods - HTTP methods of the route.
   * @param path - Path, with `:name` for parameters.
   * @param handler - Handles each request.
   */
  route(
    methods: readonly HTTPMethod[],
    path: string,
    handler: ExchangeHandler,
  ): void {
    const knownMethods = this.#methodsByPath.get(path) ?? new Set<HTTPMethod>();
    methods.forEach((method) => knownMethods.add(method));
    this.#methodsByPath.set(path, knownMethods);
    this.#router.on([...methods], path, () => undefined, handler);
  }

  /**
   * Starts listening.
   *
   * @returns The port; the operating system picks it when the option is 0.
   */
  async start(): Promise<number> {
    const { host, port, tasks } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    tasks.start("http listener", (signal) => this.#closeOnAbort(signal));
    tasks.startForever("http clients", (signal) => this.#guard.run(signal));
    const address = this.#server.address();
    return typeof address === "object" && address !== null
      ? address.port
      : port;
  }

  /** Number of exchanges whose handler has not returned yet. */
  get runningCount(): number {
    return this.#running.size;
  }

  /**
   * Announces a planned stop. From now on each response closes its connection,
   * and the `stopping` signal ends streaming responses. The server still
   * accepts requests.
   */
  announceStop(): void {
    this.#stopping.abort();
    for (const { response } of this.#running) {
      closeAfterResponse(response);
    }
  }

  /**
   * Stops accepting connections and waits for the running exchanges.
   *
   * @param timeoutMs - How long to wait at most, in milliseconds.
   * @returns The number of exchanges that are still running.
   */
  async drain(timeoutMs: number): Promise<number> {
    this.announceStop();
    this.#server.close();
    this.#server.closeIdleConnections();
    const stop = new AbortController();
    const timeout = this.#options.clock.sleep(timeoutMs, stop.signal)
      .then(() => stop.abort());
    while (this.#running.size > 0 && !stop.signal.aborted) {
      await this.#ended.wait(stop.signal);
    }
    stop.abort();
    await timeout;
    return this.#running.size;
  }

  #startExchange(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#guard.find(request.socket);
    if (connection === undefined) {
      return;
    }
    const hasRoom = this.#guard.begin(connection, request, response);
    if (this.#stopping.signal.aborted) {
      closeAfterResponse(response);
    }
    const refusal = hasRoom
      ? findHeadFailure(request)
      : createOverloaded("too many requests are not answered");
    if (refusal === undefined) {
      this.#run(connection, request, response);
    } else {
      closeAfterResponse(response);
      sendFailure(response, refusal);
    }
  }

  #run(
    connection: Connection,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const running = { response, abortController: new AbortController() };
    const abort = () => running.abortController.abort(EXCHANGE_ENDED);
    response.once("close", abort);
    // The response of a pipelined request isn't told that the connection closes.
    connection.closeListeners.add(abort);
    const account = this.#guard.createAccount(connection, request);
    this.#running.add(running);
    this.#options.tasks.start("http request", async () => {
      try {
        await this.#serve(request, response, {
          account,
          signal: running.abortController.signal,
        });
      } finally {
        account.close();
        connection.closeListeners.delete(abort);
        this.#running.delete(running);
        this.#guard.wakeDelayed();
        this.#ended.notify();
      }
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    parts: Pick<Exchange, "account" | "signal">,
  ): Promise<void> {
    const { method, url } = request;
    try {
      await this.#handle(request, response, parts);
    } catch (error) {
      this.#options.logger.error(
        { err: error, method, path: url },
        "the handler of a request threw an error",
      );
      sendFailure(
        response,
        createFailure(
          "internal",
          "the entry failed to handle the request because of an internal error",
        ),
      );
    }
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    parts: Pick<Exchange, "account" | "signal">,
  ): Promise<void> {
    const url = parseTarget(request.url ?? "/");
    if (url === undefined) {
      sendFailure(
        response,
        createFailure("invalidInput", `no URL can be read from ${request.url}`),
      );
      return;
    }
    const method = (request.method ?? "GET") as HTTPMethod;
    const found = this.#router.find(method, url.pathname);
    if (found === null) {
      this.#rejectUnrouted(response, method, url.pathname);
      return;
    }
    const handler = found.store as ExchangeHandler;
    await handler({
      ...parts,
      request,
      response,
      params: found.params,
      query: url.searchParams,
      stopping: this.#stopping.signal,
    });
  }

  #rejectUnrouted(
    response: ServerResponse,
    method: HTTPMethod,
    path: string,
  ): void {
    const allowed = [...this.#methodsByPath.values()].flatMap((
      methods,
    ) => [...methods])
      .filter((candidate, index, all) => all.indexOf(candidate) === index)
      .filter((candidate) => this.#router.find(candidate, path) !== null);
    const failure = createUnroutedFailure(method, path, allowed);
    sendFailure(
      response,
      failure,
      allowed.length === 0 ? {} : { allow: allowed.join(", ") },
    );
  }

  async #closeOnAbort(signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      signal.addEventListener("abort", () => resolve(), { once: true });
    });
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeIdleConnections();
    for (const { abortController } of this.#running) {
      abortController.abort();
    }
    await closed;
  }
}
