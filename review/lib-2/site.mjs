// A small deployment: the project's programs as processes on loopback, started
// with the commands of the deploy file, and stand-ins for the rest.
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Gangs } from "./gangs.mjs";
import { call } from "./http.mjs";
import { Record } from "./record.mjs";
import { Runner } from "./runner.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const HOST_NAME = "pule25.example";
const KEY = "sjnbanfqasnmgkcuyj8p";
const PORT_COUNT = 8;
export const ZONES = ["zone-a", "zone-b", "zone-c"];

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Exit code of a case that could not run. */
const NOT_RUN = 2;
const MAX_CASE_MS = 115_000;

export class Site {
  runners = [];
  gangs = new Gangs();
  #children = [];
  #options;
  #folder = mkdtempSync(join(tmpdir(), "cardamomsill-review-"));
  #provider;
  #subnet;
  #port;

  /**
   * @param options - Numbers of controllers, entries and runners, the kinds of the
   * first runners where they differ from the others, and the record.
   */
  constructor(options) {
    this.#options = {
      controllerCount: 5,
      entryCount: 2,
      runnerCount: 12,
      pool: "lovo22d",
      ...options,
    };
    this.record = options.record;
  }

  get controls() {
    return this.#list(this.#options.controllerCount, 1, 0);
  }

  get entries() {
    return this.#list(this.#options.entryCount, 50, 1);
  }

  async start() {
    const { controllerCount, entryCount, kinds = [], pool, runnerCount } =
      this.#options;
    await this.#choosePorts();
    await this.#startProvider();
    const runLines = readRunLines();
    const names = [
      ...Array.from(
        { length: controllerCount },
        (_, at) => ["controller", at, 1 + at],
      ),
      ...Array.from({ length: entryCount }, (_, at) => ["entry", at, 50 + at]),
    ];
    names.forEach(([role, at, number]) =>
      this.#spawn(role, at, number, runLines[role])
    );
    for (let at = 0; at < runnerCount; at += 1) {
      const runner = new Runner({
        id: `i-${String(at).padStart(4, "0")}`,
        vm: `m-${String(at).padStart(4, "0")}`,
        host: this.#host(100 + at),
        pool,
        zone: ZONES[at % ZONES.length],
        rack: `r1-${Math.floor(at / 4)}`,
        kind: kinds[at] ?? "a",
        cpu: 64000,
        memMb: 262144,
        controls: this.controls,
        gangs: this.gangs,
        record: this.record,
      });
      this.runners.push(runner);
      await runner.start();
    }
  }

  /** Sends the manifest until it is acknowledged, and waits until all is in place. */
  async settle(route = {}) {
    const manifest = createManifest(this.#options.pool, route);
    await this.#until("the manifest was acknowledged", async () => {
      for (const address of this.controls) {
        const answer = await this.operate(
          "POST",
          address,
          "/v1/Config.Replace",
          manifest,
        );
        if (answer.status === 200) {
          return true;
        }
      }
      return false;
    });
    await this.#until("the entries are ready", async () => {
      const answers = await Promise.all(
        this.#list(this.#options.entryCount, 50, 2).map((address) =>
          call("GET", address, "/v1/ready", { timeoutMs: 1000 })
        ),
      );
      return answers.every(({ status }) => status === 200);
    });
    // Each runner announces itself within one interval, and is polled then.
    await sleep(4000);
  }

  /** Sends a call of an operator and records the answer. */
  async operate(method, address, path, body) {
    const answer = await call(method, address, path, { body, timeoutMs: 1500 });
    this.record.add(`operator: ${method} ${path} -> ${answer.status}`);
    return answer;
  }

  /** Sends a call about a job and records the answer. */
  async client(method, path, body, entry = 0) {
    const answer = await call(method, this.entries[entry], `/puxa400/${path}`, {
      body,
      timeoutMs: 3000,
      headers: {
        host: HOST_NAME,
        authorization: `Token ${KEY}`,
        "x-request-deadline": "3000",
      },
    });
    this.record.add(
      `client: ${method} ${path} -> ${answer.status} ${
        JSON.stringify(answer.body ?? {})
      }`,
    );
    return answer;
  }

  /** Hands a job in, as a client does: again after no clear answer. */
  async submit(id, job) {
    this.record.add(`client: job ${id} is ${JSON.stringify(job)}`);
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const { status } = await this.client("POST", id, job, attempt % 2);
      if (status >= 200 && status < 300) {
        return;
      }
      await sleep(200);
    }
    throw new Error(`job ${id} was not accepted`);
  }

  /** Waits for a condition. */
  async waitUntil(what, isMet, timeoutMs) {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      if (await isMet()) {
        return;
      }
      await sleep(10);
    }
    throw new Error(`not in time: ${what}`);
  }

  /** Events of all runners for one job, in order of time. */
  listEvents(jobId) {
    return this.runners.flatMap(({ events }) => events)
      .filter(({ task }) => task.startsWith(jobId))
      .toSorted((left, right) => left.atMs - right.atMs);
  }

  async stop() {
    for (const child of this.#children) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill("SIGKILL");
      }
    }
    await Promise.all(this.runners.map((runner) => runner.stop()));
    this.#provider?.close();
    this.#provider?.closeAllConnections();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    } else {
      console.log(this.#folder);
    }
  }

  #until(what, isMet) {
    return this.waitUntil(
      what,
      async () => await isMet() || (await sleep(300), false),
      30_000,
    );
  }

  #host(number) {
    return `127.${this.#subnet}.${number}`;
  }

  #list(count, firstNumber, portOffset) {
    return Array.from(
      { length: count },
      (_, at) => `${this.#host(firstNumber + at)}:${this.#port + portOffset}`,
    );
  }

  // Loopback addresses of their own for each run, and ports that are free there.
  async #choosePorts() {
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const draw = (count) => Math.floor(Math.random() * count);
      this.#subnet = `${10 + draw(200)}.${1 + draw(250)}`;
      this.#port = 21_000 + PORT_COUNT * draw(1000);
      const hosts = [1, 2, 3, 4, 5, 50, 51, 52].map((number) =>
        this.#host(number)
      );
      const ports = Array.from(
        { length: PORT_COUNT },
        (_, at) => this.#port + at,
      );
      const checks = hosts.flatMap((host) =>
        ports.map((port) => isFree(host, port))
      );
      if ((await Promise.all(checks)).every(Boolean)) {
        return;
      }
    }
    throw new Error("no free ports");
  }

  // There is one pool, so that no VM is moved; no wave is started.
  async #startProvider() {
    this.#provider = createHttpServer((request, response) => {
      request.resume();
      const machines = this.runners.map((runner) => ({
        machine: runner.vm,
        pool: runner.pool,
        state: "up",
        zone: runner.zone,
        labels: [runner.kind],
        capacity: runner.capacity,
        id: runner.id,
      }));
      const isList = request.method === "GET";
      response.writeHead(isList ? 200 : 409, {
        "content-type": "application/json",
      });
      response.end(
        JSON.stringify(
          isList ? { machines, next_token: "" } : { reason: "busy" },
        ),
      );
    });
    await new Promise((resolve) =>
      this.#provider.listen(0, this.#host(90), resolve)
    );
  }

  #spawn(role, at, number, runLine) {
    const name = `${role}-${at + 1}`;
    const host = this.#host(number);
    const folder = join(this.#folder, name);
    mkdirSync(folder);
    const isController = role === "controller";
    const settings = {
      entryId: host,
      nodeName: name,
      zone: ZONES[at % ZONES.length],
      peerPort: this.#port + 4,
      seedAddresses: this.controls.slice(0, 3),
      mayBootstrap: true,
      ...(isController
        ? {
          dataFolder: join(folder, "data"),
          operatorAddress: `${host}:${this.#port}`,
        }
        : {
          callerAddress: `${host}:${this.#port + 1}`,
          readinessAddress: `${host}:${this.#port + 2}`,
        }),
      inspectionAddress: `${host}:${this.#port + 5}`,
      vmControl: {
        address: `${this.#host(90)}:${this.#provider.address().port}`,
        orderRate: 64,
        listRate: 64,
      },
      orderMode: "invoke",
      stopGraceSeconds: 6,
    };
    const file = join(folder, "boot.json");
    writeFileSync(file, JSON.stringify(settings));
    const [program, ...words] = runLine;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: "C.UTF-8",
        CARDAMOMSILL_BOOT: file,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.pipe(createWriteStream(join(folder, "log")));
    child.stderr.pipe(
      createWriteStream(join(folder, "errors")),
    );
    child.on(
      "exit",
      (code, signal) => this.record.add(`${name}: ended, ${signal ?? code}`),
    );
    this.record.add(`${name}: started, process ${child.pid}`);
    this.#children.push(child);
  }
}

/** Manifest with one route; its fields may be changed. */
function createManifest(pool, route) {
  return {
    version: 7,
    routes: [{
      name: "r-iikdrbn",
      host: HOST_NAME,
      path_prefix: "/puxa400/",
      kind: "unsafe",
      timeout_ms: 3000,
      target_latency_ms: 600,
      priority: 0,
      service: pool,
      max_attempts: 2,
      stretch: 1.6,
      public: false,
      ...route,
    }],
    services: [{
      name: pool,
      health_path: "/health",
      max_connections: 64,
      protocol: "h1",
      tls: false,
      cold_start_s: 0,
      cold_per_s: 0,
      rejects_overload: false,
      standby: false,
    }],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 262144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{
      name: "cugo130",
      api_keys: [KEY],
      priority: 1,
      weight: 29,
      max_count: { cpu: 2000919, mem_mb: 6586356, gpus: 0 },
    }],
  };
}

/** Reads the `run` lines of the deploy file. */
function readRunLines() {
  const lines = readFileSync(join(ROOT, "deploy/system.toml"), "utf8").split(
    "\n",
  );
  const runs = {};
  let role;
  for (const line of lines) {
    role = /^\[roles\.(.+)\]/.exec(line)?.[1] ?? role;
    const run = /^run = "(.+)"/.exec(line)?.[1];
    if (run !== undefined) {
      runs[role] = run.split(" ");
    }
  }
  return runs;
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run.
 *
 * @param options - Options of the site.
 * @param play - Plays the case with the site and whether there is trouble;
 * returns what broke the rule, or undefined.
 */
export async function runCase(options, play) {
  const hasTrouble = process.env.TROUBLE !== "0";
  const record = new Record(join(process.cwd(), "record.txt"));
  record.add(hasTrouble ? "with the disruption" : "without the disruption");
  const site = new Site({ ...options, record });
  const end = async (code, text) => {
    record.add(`result: ${text}`);
    console.log(text);
    await site.stop();
    process.exit(code);
  };
  const giveUp = (error) =>
    void end(NOT_RUN, `could not run: ${error?.stack ?? error}`);
  process.on("SIGTERM", () => giveUp("stopped"));
  process.on("SIGINT", () => giveUp("stopped"));
  process.on("uncaughtException", giveUp);
  setTimeout(() => giveUp("took too long"), MAX_CASE_MS).unref();
  try {
    await site.start();
    const broken = await play(site, hasTrouble);
    await end(
      broken === undefined ? 0 : 1,
      broken === undefined ? "the rule held" : `broken: ${broken}`,
    );
  } catch (error) {
    giveUp(error);
  }
}
