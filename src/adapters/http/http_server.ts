/** The HTTP server of an entry: routes to handlers, one task for each request. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import findMyWay, { type HTTPMethod } from "find-my-way";
import { createFailure } from "../../domain/index.ts";
import type { Logger } from "../../ports/index.ts";
import type { TaskGroup } from "../../tasks/index.ts";
import { type Exchange, sendFailure } from "./exchange.ts";

const MAX_HEADER_BYTES = 16 * 1_024;
const HEADERS_TIMEOUT_MS = 10_000;
const IDLE_CONNECTION_MS = 5_000;

/** Handles one request from its first to its last byte. */
export type ExchangeHandler = (exchange: Exchange) => Promise<void>;

/** Options of {@link HttpServer}. */
export interface HttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly logger: Logger;
  readonly tasks: TaskGroup;
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

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      noDelay: true,
    }, (request, response) => this.#startExchange(request, response));
  }

  /**
   * Adds a route.
   *
   * @param methods - Methods of the route.
   * @param path - Path with `:parameters`.
   * @param handler - Handles each request.
   */
  route(
    methods: readonly HTTPMethod[],
    path: string,
    handler: ExchangeHandler,
  ): void {
    const known = this.#methodsByPath.get(path) ?? new Set<HTTPMethod>();
    methods.forEach((method) => known.add(method));
    this.#methodsByPath.set(path, known);
    this.#router.on([...methods], path, () => undefined, handler);
  }

  /**
   * Listens.
   *
   * @returns The port, which the system chose when the setting was 0.
   */
  async start(): Promise<number> {
    const { host, port, tasks } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    tasks.start("http listener", (signal) => this.#closeOnAbort(signal));
    const address = this.#server.address();
    return typeof address === "object" && address !== null
      ? address.port
      : port;
  }

  #startExchange(request: IncomingMessage, response: ServerResponse): void {
    this.#options.tasks.start(
      "http request",
      (signal) => this.#serve(request, response, signal),
    );
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    stop: AbortSignal,
  ): Promise<void> {
    const gone = new AbortController();
    response.once("close", () => gone.abort());
    const url = new URL(request.url ?? "/", "http://entry");
    const method = (request.method ?? "GET") as HTTPMethod;
    const found = this.#router.find(method, url.pathname);
    if (found === null) {
      this.#answerUnrouted(response, method, url.pathname);
      return;
    }
    const handler = found.store as ExchangeHandler;
    const signal = AbortSignal.any([gone.signal, stop]);
    try {
      await handler({
        request,
        response,
        params: found.params,
        query: url.searchParams,
        signal,
      });
    } catch (error) {
      this.#options.logger.error(
        { err: error, method, path: url.pathname },
        "a handler failed",
      );
      sendFailure(
        response,
        createFailure("internal", "the entry failed to handle the request"),
      );
    }
  }

  #answerUnrouted(
    response: ServerResponse,
    method: HTTPMethod,
    path: string,
  ): void {
    const allowed = [...this.#methodsByPath.values()].flatMap((
      methods,
    ) => [...methods])
      .filter((candidate, at, all) => all.indexOf(candidate) === at)
      .filter((candidate) => this.#router.find(candidate, path) !== null);
    if (allowed.length === 0) {
      sendFailure(
        response,
        createFailure("notFound", `there is nothing at ${path}`, {
          remedy: "see docs/API.md",
        }),
      );
      return;
    }
    sendFailure(
      response,
      createFailure("methodNotAllowed", `${method} is not allowed at ${path}`, {
        remedy: `use ${allowed.join(" or ")}`,
      }),
      { allow: allowed.join(", ") },
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
    await closed;
  }
}
