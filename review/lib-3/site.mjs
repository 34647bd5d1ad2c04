/** A small deployment on loopback for the cases of this review. */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const ROOT = new URL("../..", import.meta.url).pathname;
const GRACE_S = 6;

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const isTroubled = process.env.TROUBLE !== "0";

/** Writes what was sent, answered and run to record.txt. */
export class Record {
  #file;
  #startedMs = Date.now();
  constructor(folder) {
    this.#file = join(folder, "record.txt");
    writeFileSync(this.#file, "");
  }
  add(text) {
    const atS = ((Date.now() - this.#startedMs) / 1000).toFixed(3);
    appendFileSync(this.#file, `${atS.padStart(8)} s  ${text}\n`);
  }
}

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1].split("[roles.")[0];
  return /run = "([^"]+)"/.exec(section)[1].split(" ");
}

async function findFreePort(host) {
  const server = net.createServer();
  await new Promise((done) => server.listen(0, host, done));
  const { port } = server.address();
  await new Promise((done) => server.close(done));
  return port;
}

/** Sends one request; status 0 stands for no answer. */
export function call(
  { host, port, method, path, headers = {}, body, timeoutMs = 3_000, localAddress },
) {
  return new Promise((done) => {
    const text = body === undefined
      ? undefined
      : typeof body === "string" ? body : JSON.stringify(body);
    const request = http.request({
      host,
      port,
      method,
      path,
      localAddress,
      agent: false,
      headers: {
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
        ...headers,
      },
    }, (response) => {
      let answer = "";
      response.on("data", (part) => answer += part);
      response.on("end", () => {
        clearTimeout(timer);
        let value;
        try {
          value = JSON.parse(answer);
        } catch {
          value = answer;
        }
        done({ status: response.statusCode, value });
      });
      response.on("error", () => done({ status: 0 }));
    });
    const timer = setTimeout(() => request.destroy(new Error("timeout")), timeoutMs);
    request.on("error", (error) => {
      clearTimeout(timer);
      done({ status: 0, value: String(error) });
    });
    request.end(text);
  });
}

/** Controllers and entries as processes, started as the deploy file says. */
export class Site {
  processes = [];
  #record;
  #folder;
  #subnet = 20 + (process.pid % 200);
  #ports;
  #options;
  constructor(record, options = {}) {
    this.#record = record;
    this.#options = { controllers: 3, entries: 2, settings: {}, ...options };
  }

  host(number) {
    return `127.0.${this.#subnet}.${number}`;
  }
  get controllers() {
    return this.processes.filter(({ role }) => role === "controller");
  }
  get entries() {
    return this.processes.filter(({ role }) => role === "entry");
  }
  get controlPort() {
    return this.#ports.control;
  }
  get callerPort() {
    return this.#ports.caller;
  }
  get readyPort() {
    return this.#ports.ready;
  }

  async start() {
    this.#folder = mkdtempSync(join(tmpdir(), "cardamomsill-case-"));
    const ports = [];
    while (ports.length < 5) {
      const port = await findFreePort(this.host(1));
      if (!ports.includes(port)) {
        ports.push(port);
      }
    }
    const [control, caller, ready, peer, inspection] = ports;
    this.#ports = { control, caller, ready, peer, inspection };
    for (let at = 0; at < this.#options.controllers; at += 1) {
      this.#add("controller", at, this.host(1 + at));
    }
    for (let at = 0; at < this.#options.entries; at += 1) {
      this.#add("entry", at, this.host(50 + at));
    }
    this.processes.forEach((process) => this.launch(process));
  }

  #add(role, index, host) {
    const name = `${role}-${index}`;
    const folder = join(this.#folder, name);
    mkdirSync(folder);
    const { control, caller, ready, peer, inspection } = this.#ports;
    const seeds = Array.from(
      { length: Math.min(3, this.#options.controllers) },
      (_, at) => `${this.host(1 + at)}:${control}`,
    );
    const settings = {
      entryId: host,
      nodeName: name,
      zone: `zone-${index % 3}`,
      peerPort: peer,
      seedAddresses: seeds,
      mayBootstrap: true,
      ...(role === "controller"
        ? { dataFolder: folder, operatorAddress: `${host}:${control}` }
        : {
          callerAddress: `${host}:${caller}`,
          readinessAddress: `${host}:${ready}`,
        }),
      inspectionAddress: `${host}:${inspection}`,
      orderMode: "invoke",
      stopGraceSeconds: GRACE_S,
      ...this.#options.settings,
    };
    const file = join(folder, "settings.json");
    writeFileSync(file, JSON.stringify(settings));
    this.processes.push({ role, name, host, folder, file, exits: [], starts: 0 });
  }

  /** Starts a process; one that ends by itself is started again. */
  launch(target) {
    const [, ...words] = readCommand(target.role);
    const out = openSync(join(target.folder, "log.jsonl"), "a");
    const child = spawn(process.execPath, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CARDAMOMSILL_BOOT: target.file },
      stdio: ["ignore", out, out],
    });
    target.child = child;
    target.starts += 1;
    target.isStopping = false;
    child.once("exit", (code, signal) => {
      if (!target.isStopping && !this.isOver) {
        target.exits.push({ code, signal });
        this.#record.add(`${target.name} ended by itself: code ${code}, signal ${signal}`);
        setTimeout(() => this.isOver || this.launch(target), 500);
      }
    });
  }

  /** Sends a signal to a process; the end that it causes is expected. */
  async signal(target, name) {
    this.#record.add(`${name} to ${target.name}`);
    const ended = new Promise((done) => target.child.once("exit", done));
    target.isStopping = name === "SIGKILL" || name === "SIGTERM";
    target.child.kill(name);
    if (name === "SIGKILL") {
      await ended;
    }
  }

  /** Peak resident memory of a process, in MB. */
  peakMb({ child }) {
    try {
      const text = readFileSync(`/proc/${child.pid}/status`, "utf8");
      return Math.round(Number(/VmHWM:\s+(\d+)/.exec(text)[1]) / 1024);
    } catch {
      return 0;
    }
  }

  /** Resident memory of a process, in MB. */
  residentMb({ child }) {
    try {
      const text = readFileSync(`/proc/${child.pid}/status`, "utf8");
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)[1]) / 1024);
    } catch {
      return 0;
    }
  }

  readLog({ folder }) {
    return readFileSync(join(folder, "log.jsonl"), "utf8");
  }

  /** Sends a manifest until it is acknowledged. */
  async replaceManifest(manifest) {
    for (let at = 0; at < 100; at += 1) {
      const { host } = this.controllers[at % this.controllers.length];
      const { status } = await call({
        host,
        port: this.controlPort,
        method: "POST",
        path: "/v1/Config.Replace",
        body: manifest,
        timeoutMs: 2_000,
      });
      if (status === 200) {
        this.#record.add(`manifest ${manifest.version} acknowledged by ${host}`);
        return;
      }
      await sleep(200);
    }
    throw new Error("no manifest was accepted");
  }

  /** Waits until all entries say that they are ready. */
  async waitReady() {
    for (let at = 0; at < 150; at += 1) {
      const answers = await Promise.all(
        this.entries.map(({ host }) =>
          call({ host, port: this.readyPort, method: "GET", path: "/v1/ready", timeoutMs: 500 })
        ),
      );
      if (answers.every(({ status }) => status === 200)) {
        return;
      }
      await sleep(200);
    }
    throw new Error("the entries are not ready");
  }

  /** Sends a client's call to an entry. */
  client(entryIndex, method, path, body, more = {}) {
    return call({
      host: this.entries[entryIndex].host,
      port: this.callerPort,
      method,
      path,
      body,
      headers: {
        host: "bay.example",
        authorization: "Token key-1",
        "x-request-deadline": "3000",
      },
      ...more,
    });
  }

  stop() {
    this.isOver = true;
    for (const { child } of this.processes) {
      child?.kill("SIGCONT");
      child?.kill("SIGKILL");
    }
    if (process.env.KEEP !== "1") {
      rmSync(this.#folder, { recursive: true, force: true });
    } else {
      console.log(this.#folder);
    }
  }
}

export const MANIFEST = {
  version: 1,
  routes: [{
    name: "captures",
    host: "bay.example",
    path_prefix: "/captures/",
    kind: "unsafe",
    timeout_ms: 3_000,
    target_latency_ms: 600,
    priority: 0,
    service: "bay",
    max_attempts: 2,
    stretch: 1.6,
    public: false,
  }],
  services: [{
    name: "bay",
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
    max_header_bytes: 16_384,
    max_body_bytes: 262_144,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{
    name: "fitting",
    api_keys: ["key-1"],
    priority: 0,
    weight: 1,
    max_count: { cpu: 0, mem_mb: 0, gpus: 0 },
  }],
};

const MAX_HOLD_MS = 6_000;

/** A runner as the pages describe it. */
export class Runner {
  events = [];
  #options;
  #record;
  #server;
  #sockets = new Set();
  #cut = new Set();
  #timers = [];
  #controlAt = 0;
  isCut = false;

  /**
   * options: id, host, controls (host:port list), workMs(task), gang, rack,
   * endOf(task): how a run ends when its work is done.
   */
  constructor(record, options) {
    this.#record = record;
    this.#options = { cpu: 64_000, memMb: 262_144, service: "bay", zone: "zone-0", rack: "r1-0", workMs: () => 800, endOf: () => "done", ...options };
    this.id = this.#options.id;
    this.zone = this.#options.zone;
    this.#reset();
  }

  #reset() {
    this.born = Date.now();
    this.running = new Map();
    this.finished = [];
    this.endCount = 0;
    this.last = new Map();
    this.fence = 0;
    this.until = 0;
    this.sequence = 0;
  }

  get clock() {
    return Date.now() - this.born;
  }

  async start(port = 0) {
    this.#server = http.createServer({ keepAliveTimeout: 60_000 }, (incoming, out) => {
      let text = "";
      incoming.on("data", (part) => text += part);
      incoming.on("end", async () => {
        const answer = await this.#serve(incoming, text);
        if (this.isResetting) {
          incoming.socket.resetAndDestroy();
          return;
        }
        // What a cut link holds up is lost.
        if (answer !== undefined && !this.isCut) {
          out.writeHead(answer.status, { "content-type": "application/json" });
          out.end(JSON.stringify(answer.body));
        }
      });
    });
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      socket.on("error", () => {});
    });
    await new Promise((done) => this.#server.listen(port, this.#options.host, done));
    this.port = this.#server.address().port;
    this.#timers = [
      setInterval(() => this.#tick(), 10),
      setInterval(() => void this.#beat(), 1_500),
    ];
    await this.#beat();
  }

  /** Ends like a crash; everything that ran is gone. */
  async crash() {
    this.#record.add(`runner ${this.id} crashes`);
    this.#timers.forEach((timer) => clearInterval(timer));
    for (const run of this.running.values()) {
      this.#note(run, "lost");
    }
    this.running.clear();
    this.isDown = true;
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise((done) => this.#server.close(done));
  }

  /** Is lost for good without power: everything is gone, and nothing answers. */
  goDark() {
    this.#record.add(`runner ${this.id} loses power for good`);
    this.cut();
    this.#timers.forEach((timer) => clearInterval(timer));
    for (const run of this.running.values()) {
      this.#note(run, "lost");
    }
    this.running.clear();
  }

  /** Starts again under the same id and address, and knows nothing. */
  async restart() {
    this.#reset();
    this.isDown = false;
    this.#record.add(`runner ${this.id} starts again`);
    await this.start(this.port);
  }

  /** Cuts the runner off from all machines; it runs on. */
  cut() {
    this.#record.add(`runner ${this.id} is cut off`);
    this.isCut = true;
  }

  /** Resets the connection of each order and look; its reports go on. */
  beginResets() {
    this.#record.add(`runner ${this.id} resets all requests`);
    this.isResetting = true;
  }

  endResets() {
    this.#record.add(`runner ${this.id} answers again`);
    this.isResetting = false;
  }

  heal() {
    this.#record.add(`runner ${this.id} is reachable again`);
    this.isCut = false;
  }

  close() {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  endRun(run, how, saved = "") {
    this.running.delete(run.task);
    this.last.set(run.task, Math.max(this.last.get(run.task) ?? 0, run.runId));
    this.endCount += 1;
    this.finished.push([this.endCount, run.task, run.runId, how, saved]);
    this.#note(run, how);
  }

  #note(run, what) {
    this.events.push({ task: run.task, runId: run.runId, what, atMs: Date.now() });
    this.#record.add(`runner ${this.id}: ${run.task} run ${run.runId} ${what}`);
  }

  #tick() {
    for (const run of [...this.running.values()]) {
      if (this.clock > this.until) {
        this.endRun(run, "lapsed", run.saved);
      } else if (this.#options.gang) {
        this.#options.gang(this, run);
      } else if (Date.now() - run.sinceMs >= this.#options.workMs(run.task, run)) {
        this.endRun(run, this.#options.endOf(run.task, run));
      }
    }
  }

  async #serve(incoming, text) {
    this.#options.onOrder?.(this, incoming.url);
    if (this.isCut || this.isResetting) {
      return undefined;
    }
    if (incoming.headers["x-target-instance"] !== this.id) {
      return { status: 421, body: {} };
    }
    const body = JSON.parse(text);
    const fence = body.fencing_token ?? 0;
    const refuse = (reason) => ({ status: 409, body: { clock_ms: this.clock, reason } });
    if (fence < this.fence) {
      return refuse("fence");
    }
    this.fence = fence;
    const extend = (untilMs) => {
      this.until = Math.max(this.until, Math.min(untilMs, this.clock + MAX_HOLD_MS));
    };
    const ok = () => ({ status: 200, body: { clock_ms: this.clock } });
    if (incoming.url === "/v1/run-start") {
      if (body.until_ms <= this.clock) {
        return refuse("late");
      }
      extend(body.until_ms);
      if (this.running.get(body.task)?.runId === body.run_id) {
        return ok();
      }
      if (body.run_id <= (this.last.get(body.task) ?? 0)) {
        return refuse("old");
      }
      const run = {
        task: body.task,
        runId: body.run_id,
        spec: body.spec,
        checkpoint: body.checkpoint ?? "",
        saved: body.checkpoint ?? "",
        sinceMs: Date.now(),
      };
      this.running.set(run.task, run);
      this.#note(run, run.checkpoint === "" ? "started" : `started from ${run.checkpoint}`);
      this.#options.onStart?.(run);
      return ok();
    }
    if (incoming.url === "/v1/run-stop") {
      const run = this.running.get(body.task);
      if (run !== undefined && run.runId <= body.run_id) {
        this.endRun(run, "stopped", run.saved);
      }
      this.last.set(body.task, Math.max(this.last.get(body.task) ?? 0, body.run_id));
      return ok();
    }
    if (incoming.url === "/v1/hold") {
      const cursor = body.ack_cursor ?? 0;
      for (const [position, task, runId, how] of this.finished) {
        if (position <= cursor) {
          this.events.push({ task, runId, what: `noted ${how}`, atMs: Date.now() });
        }
      }
      this.finished = this.finished.filter(([position]) => position > cursor);
      if (body.until_ms !== undefined) {
        extend(body.until_ms);
      }
      const dueMs = Date.now() + (body.wait_ms ?? 0);
      const { born } = this;
      while (this.finished.length === 0 && Date.now() < dueMs) {
        await sleep(5);
      }
      if (this.born !== born || this.isDown) {
        return undefined;
      }
      return {
        status: 200,
        body: {
          clock_ms: this.clock,
          born: this.born,
          running: [...this.running.values()].map((run) => [
            run.task,
            run.runId,
            run.saved,
            this.#options.percent?.(run) ??
              Math.min(100, Math.floor(100 * (Date.now() - run.sinceMs) / this.#options.workMs(run.task, run))),
            0,
          ]),
          finished: this.finished.slice(0, 500),
        },
      };
    }
    return ok();
  }

  async #beat() {
    if (this.isCut) {
      return;
    }
    this.sequence += 1;
    const { controls, service, zone, cpu, memMb, rack, host } = this.#options;
    const [controlHost, controlPort] = controls[this.#controlAt % controls.length].split(":");
    const { status } = await call({
      host: controlHost,
      port: Number(controlPort),
      method: "POST",
      path: `/v1/Instances.Heartbeat/${this.id}`,
      timeoutMs: 1_000,
      body: {
        service,
        address: `${host}:${this.port}`,
        zone,
        version: "v1",
        slots: 8,
        state: "ready",
        cold_remaining_ms: 0,
        capacity: { cpu, mem_mb: memMb, gpus: 0 },
        labels: ["a", rack],
        clock_ms: this.clock,
        sequence: this.sequence,
        born: this.born,
      },
    });
    if (status !== 200) {
      this.#controlAt += 1;
      if (!this.isDown && !this.isCut) {
        setTimeout(() => this.isDown || this.isCut || void this.#beat(), 300);
      }
    }
  }
}

export function controlAddresses(site) {
  return site.controllers.map(({ host }) => `${host}:${site.controlPort}`);
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  record.add(`TROUBLE is ${isTroubled ? "1" : "0"}`);
  const ends = [];
  let code = 2;
  const limit = setTimeout(() => {
    record.add("the case took too long");
    ends.forEach((end) => end());
    process.exit(2);
  }, 115_000);
  try {
    code = await play(record, (end) => ends.push(end)) ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  ends.forEach((end) => end());
  record.add(`exit ${code}`);
  await sleep(100);
  process.exit(code);
}
