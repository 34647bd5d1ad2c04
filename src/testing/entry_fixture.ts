/** Runs one entry in the process of the test, on a free port. */
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { SystemClock } from "../adapters/clock/index.ts";
import { createEntry, validateSettings } from "../daemon/index.ts";
import { FakeLogger } from "./fake_ports.ts";

const READY_DEADLINE_MS = 5_000;
const POLL_INTERVAL_MS = 50;

/** An HTTP request that a test sends. */
export interface TestRequest {
  readonly method: string;
  readonly path: string;
  /** Sent as bearer token. */
  readonly key?: string | undefined;
  readonly body?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
}

/** The response to a {@link TestRequest}. */
export interface TestResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
  /** The parsed body, or undefined when it is not JSON. */
  readonly value: unknown;
}

/** A running entry and the parts of it that tests use. */
export interface EntryFixture {
  readonly url: string;
  readonly operatorKey: string;
  readonly logger: FakeLogger;
  send(request: TestRequest): Promise<TestResponse>;
  /**
   * Waits until `/readyz` responds with 200; returns after at most five
   * seconds.
   */
  waitUntilReady(): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Starts an entry with an empty data folder.
 *
 * @returns The running entry.
 * @throws Error when it cannot start.
 */
export async function startEntryFixture(): Promise<EntryFixture> {
  const folder = await mkdtemp(join(tmpdir(), "cardamomsill-entry-"));
  const text = JSON.stringify({
    dataFolder: folder,
    http: { port: 0 },
    readinessGraceMs: 0,
    peer: { port: 0 },
  });
  const settings = validateSettings(text, "fixture").unwrapOrElse((failure) => {
    throw new Error(failure.message);
  });
  const logger = new FakeLogger();
  const onFatal = (failure: { message: string }) => {
    throw new Error(failure.message);
  };
  const created = await createEntry({ settings, logger, onFatal });
  const entry = created.unwrapOrElse((failure) => {
    throw new Error(failure.message);
  });
  const url = `http://127.0.0.1:${entry.httpPort}`;
  const operatorKey = await readFile(join(folder, "operator.key"), "utf8");
  return {
    url,
    operatorKey: operatorKey.trim(),
    logger,
    send: (testRequest) => send(url, testRequest),
    waitUntilReady: () => waitUntilReady(url),
    stop: async () => {
      await entry.stop();
      await rm(folder, { recursive: true });
    },
  };
}

async function waitUntilReady(url: string): Promise<void> {
  const clock = new SystemClock();
  const deadlineMs = clock.monotonicMs() + READY_DEADLINE_MS;
  while (clock.monotonicMs() < deadlineMs) {
    const { status } = await send(url, { method: "GET", path: "/readyz" });
    if (status === 200) {
      return;
    }
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

async function send(
  url: string,
  testRequest: TestRequest,
): Promise<TestResponse> {
  const { method, path, key, body, headers } = testRequest;
  const response = await request(`${url}${path}`, {
    method: method as "GET",
    headers: {
      ...headers,
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    },
    body: body ?? null,
  });
  const text = await response.body.text();
  return {
    status: response.statusCode,
    headers: response.headers,
    text,
    value: parseJson(text),
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
