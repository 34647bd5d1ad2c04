/**
 * A stand-in backend server that announces itself and records the work it runs.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { request } from "undici";
import { SystemClock } from "../adapters/clock/index.ts";
import {
  type Announcement,
  ATTEMPT_ID_HEADER,
  LEASE_MS_HEADER,
  NOT_STARTED_HEADER,
} from "../domain/index.ts";
import { parseAttemptId } from "../services/index.ts";

const ANNOUNCE_INTERVAL_MS = 500;
const DEFAULT_SLOT_COUNT = 8;
const DEFAULT_CONNECTION_COUNT = 64;

/** Record of one piece of work that the stand-in started. */
export interface StartedWork {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly startedAtMs: number;
  /** Undefined while the work runs. */
  endedAtMs: number | undefined;
}

/** Options of {@link StandInBackend}. */
export interface StandInBackendOptions {
  readonly backendServerId: string;
  readonly vm: string;
  /**
   * Chooses the entry for each announcement, like the platform's load balancer.
   */
  readonly chooseEntryUrl: () => string;
  readonly slotCount?: number;
  /** Duration of each piece of work, in milliseconds. */
  readonly workMs?: number;
}

/**
 * Runs work that it receives over HTTP; sends announcements until it is
 * stopped.
 */
export class StandInBackend {
  /**
   * All work that was started; tests compare it with the results of callers.
   */
  readonly started: StartedWork[] = [];
  readonly #options: StandInBackendOptions;
  readonly #clock = new SystemClock();
  readonly #running = new Set<StartedWork>();
  readonly #stop = new AbortController();
  readonly #server: Server;
  #port = 0;
  #sequence = Date.now();
  #leaving = false;
  #announcing: Promise<void> = Promise.resolve();

  constructor(options: StandInBackendOptions) {
    this.#options = options;
    this.#server = createServer((incoming, response) => {
      this.#serve(incoming, response).catch(() => response.destroy());
    });
  }

  /** URL of the backend server. */
  get url(): string {
    return `http://127.0.0.1:${this.#port}`;
  }

  /** Opens the port and starts to send announcements. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const address = this.#server.address();
    this.#port = typeof address === "object" && address !== null
      ? address.port
      : 0;
    this.#announcing = this.#announceForever();
  }

  /** Announces that the backend server is leaving, and refuses new work. */
  async leave(): Promise<void> {
    this.#leaving = true;
    await this.announce();
  }

  /** Stops the announcements and closes the port. */
  async stop(): Promise<void> {
    this.#stop.abort();
    await this.#announcing;
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  /** Sends one announcement; ignores a failure to deliver it. */
  async announce(): Promise<void> {
    this.#sequence += 1;
    const announcement: Announcement = {
      backendServerId: this.#options.backendServerId,
      sequence: this.#sequence,
      vm: this.#options.vm,
      host: "127.0.0.1",
      port: this.#port,
      slotCount: this.#options.slotCount ?? DEFAULT_SLOT_COUNT,
      connectionCount: DEFAULT_CONNECTION_COUNT,
      leaving: this.#leaving,
      running: [...this.#running].map(({ attemptId }) => ({
        attemptId,
        team: parseAttemptId(attemptId)?.team ?? "",
      })),
    };
    try {
      const response = await request(
        `${this.#options.chooseEntryUrl()}/v1/announcements`,
        {
          method: "POST",
          headers: { "content-type": "application/json" },
          body: JSON.stringify(announcement),
          signal: AbortSignal.any([
            this.#stop.signal,
            AbortSignal.timeout(ANNOUNCE_INTERVAL_MS),
          ]),
        },
      );
      await response.body.dump();
    } catch {
      // The next announcement contains the same information.
    }
  }

  async #announceForever(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.announce();
      await this.#clock.sleep(ANNOUNCE_INTERVAL_MS, this.#stop.signal);
    }
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const attemptId = String(incoming.headers[ATTEMPT_ID_HEADER] ?? "");
    const slotCount = this.#options.slotCount ?? DEFAULT_SLOT_COUNT;
    response.setHeader(ATTEMPT_ID_HEADER, attemptId);
    if (this.#leaving || this.#running.size >= slotCount) {
      response.writeHead(503, { [NOT_STARTED_HEADER]: "true" }).end();
      return;
    }
    const work: StartedWork = {
      attemptId,
      method: incoming.method ?? "",
      path: incoming.url ?? "",
      startedAtMs: this.#clock.monotonicMs(),
      endedAtMs: undefined,
    };
    this.started.push(work);
    this.#running.add(work);
    try {
      const body = await readText(incoming);
      await this.#work(Number(incoming.headers[LEASE_MS_HEADER]));
      const answer = { ranOn: this.#options.vm, path: work.path, body };
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify(answer));
    } finally {
      work.endedAtMs = this.#clock.monotonicMs();
      this.#running.delete(work);
    }
  }

  async #work(leaseMs: number): Promise<void> {
    const workMs = this.#options.workMs ?? 0;
    const allowedMs = Number.isNaN(leaseMs)
      ? workMs
      : Math.min(workMs, leaseMs);
    await this.#clock.sleep(allowedMs, this.#stop.signal);
    if (allowedMs < workMs) {
      throw new Error("the lease of the attempt has expired");
    }
  }
}

async function readText(incoming: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of incoming.setEncoding("utf8")) {
    text += chunk;
  }
  return text;
}
