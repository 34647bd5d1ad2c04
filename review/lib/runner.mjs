/** A stand-in runner that follows the pages: leases, fences, ends, heartbeats. */
import http from "node:http";
import { call } from "./site.mjs";

const MAX_HOLD_MS = 6_000;
const STOP_MS = 100;
const HEARTBEAT_MS = 1_500;
const GANG_WAIT_MS = 3_000;
const CHECKPOINT_MS = 2_000;

/**
 * The gangs of all runners. The members of one run work from the moment at which
 * all of them are there with the same checkpoint, and end together.
 */
export class Gangs {
  constructor() {
    this.runs = new Map();
  }

  join(run, runner) {
    const members = this.runs.get(run.gangKey) ?? new Set();
    this.runs.set(run.gangKey, members);
    members.add({ run, runner });
    const all = [...members];
    const isWhole = all.length === run.gangSize &&
      all.every((member) => member.run.checkpoint === run.checkpoint);
    if (isWhole) {
      all.forEach((member) => member.run.workedFrom = performance.now());
    }
  }

  /** Ends the other members, as one of them has ended. */
  leave(run, how) {
    const members = this.runs.get(run.gangKey) ?? new Set();
    const mine = [...members].find((member) => member.run === run);
    members.delete(mine);
    if (how === "alone") {
      return;
    }
    this.runs.delete(run.gangKey);
    for (const { run: other, runner } of members) {
      runner.endMember(other, how === "done" ? "done" : "broken");
    }
  }
}

/** One life of a runner. */
export class Runner {
  /**
   * @param options - id, host, pool, zone, rack, cpu, memMb, site, recorder.
   */
  constructor(options) {
    this.options = { cpu: 64_000, memMb: 262_144, rack: "r1-0", ...options };
    this.bornMs = Date.now();
    this.bornAt = performance.now();
    this.running = new Map();
    this.lastRun = new Map();
    this.finished = [];
    this.endCount = 0;
    this.fence = 0;
    this.leaseUntilMs = 0;
    this.sequence = 0;
    this.state = "ready";
    this.sockets = new Set();
    this.begun = [];
    this.ends = [];
    /** Whether the runner is cut off: nothing arrives or leaves. */
    this.isCut = false;
    /** Called with the path of each order that was carried out, if set. */
    this.onOrder = undefined;
    this.nextControl = options.firstControl ?? 0;
  }

  get id() {
    return this.options.id;
  }

  get clockMs() {
    return Math.floor(performance.now() - this.bornAt);
  }

  async start() {
    const { host, port = 0 } = this.options;
    this.server = http.createServer(
      { keepAliveTimeout: 60_000 },
      (request, response) => void this.#serve(request, response),
    );
    this.server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.on("close", () => this.sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, resolve);
    });
    this.port = this.server.address().port;
    this.address = `${host}:${this.port}`;
    this.ticker = setInterval(() => this.#tick(), 20);
    this.heart = setInterval(() => void this.beat(), HEARTBEAT_MS);
    this.#log(`starts, born ${this.bornMs}, pool ${this.options.pool}`);
    if (!this.options.beatsLater) {
      await this.beat();
    }
  }

  /** Ends this life; everything that runs ends with it. */
  async end() {
    clearInterval(this.ticker);
    clearInterval(this.heart);
    this.isOver = true;
    for (const run of [...this.running.values()]) {
      this.#endRun(run, "gone");
    }
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.server.close(resolve));
    this.#log("has ended");
  }

  describe() {
    const { pool, zone, rack, cpu, memMb, labels } = this.options;
    this.sequence += 1;
    return {
      service: pool,
      address: this.address,
      zone,
      version: "v1",
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu, mem_mb: memMb, gpus: 0 },
      labels: labels ?? ["a", rack],
      clock_ms: this.clockMs,
      sequence: this.sequence,
      born: this.bornMs,
    };
  }

  /** Reports itself; asks the next controller without an answer within 1 s. */
  async beat() {
    if (this.isOver || this.isBeating || this.isCut) {
      return undefined;
    }
    this.isBeating = true;
    const { controllers } = this.options.site;
    let answer;
    for (let tries = 0; tries < controllers.length && !this.isOver; tries += 1) {
      const target = this.beatAt ??
        controllers[this.nextControl % controllers.length].control;
      answer = await call(
        target,
        "POST",
        `/v1/Instances.Heartbeat/${this.id}`,
        { body: this.describe() },
      );
      if (answer.status === 200) {
        this.beatAt = answer.body?.heartbeat_url ?? this.beatAt;
        break;
      }
      this.beatAt = undefined;
      this.nextControl += 1;
    }
    this.isBeating = false;
    return answer;
  }

  async #serve(request, response) {
    let text = "";
    for await (const chunk of request) {
      text += chunk;
    }
    if (this.isCut) {
      return;
    }
    const answer = await this.#handle(request, text);
    await this.onOrder?.(request.url);
    if (this.isCut) {
      return;
    }
    response.writeHead(answer.status, { "content-type": "application/json" });
    response.end(JSON.stringify({ clock_ms: this.clockMs, ...answer.body }));
  }

  async #handle(request, text) {
    if (request.method === "GET") {
      return { status: 200, body: {} };
    }
    if (request.headers["x-target-instance"] !== this.id) {
      return { status: 421, body: {} };
    }
    const body = JSON.parse(text);
    const fence = body.fencing_token ?? 0;
    if (fence < this.fence) {
      return { status: 409, body: { reason: "fence" } };
    }
    this.fence = fence;
    switch (request.url) {
      case "/v1/run-start":
        return this.#startRun(body);
      case "/v1/run-stop":
        return this.#stopRun(body);
      case "/v1/hold":
        return await this.#hold(body);
      default:
        return { status: 200, body: {} };
    }
  }

  #startRun(body) {
    const { task, run_id: number, spec, until_ms: untilMs } = body;
    if (untilMs <= this.clockMs) {
      return { status: 409, body: { reason: "late" } };
    }
    this.#extend(untilMs);
    if (this.running.get(task)?.number === number) {
      return { status: 200, body: {} };
    }
    if (number <= (this.lastRun.get(task) ?? 0)) {
      return { status: 409, body: { reason: "old" } };
    }
    const { workMs, gangSize } = JSON.parse(spec);
    const checkpoint = body.checkpoint ?? "";
    const run = { task, number, workMs, at: performance.now(), checkpoint };
    this.running.set(task, run);
    this.begun.push({ task, number, atMs: Date.now() });
    this.#log(
      `begins ${task} run ${number}` +
        (checkpoint === "" ? "" : `, checkpoint ${checkpoint}`),
    );
    if (gangSize !== undefined) {
      run.gangSize = gangSize;
      run.gangKey = `${task.slice(0, task.lastIndexOf("."))}#${number}`;
      this.options.gangs.join(run, this);
    }
    return { status: 200, body: {} };
  }

  #stopRun({ task, run_id: number }) {
    this.#log(`is told to stop ${task} run ${number}`);
    const run = this.running.get(task);
    this.lastRun.set(task, Math.max(this.lastRun.get(task) ?? 0, number));
    if (run !== undefined && run.number <= number) {
      setTimeout(() => {
        if (this.running.get(task) === run && !this.isOver) {
          this.#endRun(run, "stopped");
        }
      }, STOP_MS);
    }
    return { status: 200, body: {} };
  }

  async #hold({ until_ms: untilMs, ack_cursor: cursor = 0, wait_ms: waitMs }) {
    this.finished = this.finished.filter(([at]) => at > cursor);
    if (untilMs !== undefined) {
      this.#extend(untilMs);
    }
    const until = performance.now() + (waitMs ?? 0);
    while (this.finished.length === 0 && performance.now() < until) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    const running = [...this.running.values()].map((run) => {
      const share = 100 * (performance.now() - run.at) / run.workMs;
      const isEndless = run.workMs > 1_000_000;
      const percent = isEndless && performance.now() - run.at > 500
        ? 100
        : Math.min(99, Math.floor(share));
      return [run.task, run.number, this.#findSaved(run), percent, 0];
    });
    return {
      status: 200,
      body: {
        born: this.bornMs,
        running,
        finished: this.finished.slice(0, 500),
      },
    };
  }

  #extend(untilMs) {
    const most = Math.min(untilMs, this.clockMs + MAX_HOLD_MS);
    this.leaseUntilMs = Math.max(this.leaseUntilMs, most);
  }

  #tick() {
    const hasLapsed = this.clockMs > this.leaseUntilMs;
    for (const run of [...this.running.values()]) {
      if (hasLapsed) {
        this.#endRun(run, "lapsed");
      } else if (run.gangKey !== undefined) {
        this.#tickMember(run);
      } else if (performance.now() - run.at >= run.workMs) {
        this.#endRun(run, "done");
      }
    }
  }

  #tickMember(run) {
    if (!this.running.has(run.task)) {
      return;
    }
    if (run.workedFrom !== undefined) {
      if (this.#findWorkedMs(run) >= run.workMs) {
        this.#endRun(run, "done");
      }
    } else if (performance.now() - run.at >= GANG_WAIT_MS) {
      this.#endRun(run, "alone");
    }
  }

  /** Ends a member of a gang, as another one has ended. */
  endMember(run, how) {
    if (this.running.get(run.task) === run && !this.isOver) {
      this.#endRun(run, how);
    }
  }

  #findWorkedMs(run) {
    const savedMs = run.checkpoint === "" ? 0 : parseInt(run.checkpoint, 16);
    return run.workedFrom === undefined
      ? savedMs
      : savedMs + performance.now() - run.workedFrom;
  }

  /** The newest checkpoint: a multiple of `checkpoint_s` of work. */
  #findSaved(run) {
    if (run.gangKey === undefined || run.workedFrom === undefined) {
      return run.checkpoint;
    }
    const steps = Math.floor(this.#findWorkedMs(run) / CHECKPOINT_MS);
    return steps === 0
      ? run.checkpoint
      : (steps * CHECKPOINT_MS).toString(16).padStart(16, "0");
  }

  #endRun(run, how) {
    this.running.delete(run.task);
    this.lastRun.set(
      run.task,
      Math.max(this.lastRun.get(run.task) ?? 0, run.number),
    );
    this.endCount += 1;
    const saved = this.#findSaved(run);
    this.finished.push([this.endCount, run.task, run.number, how, saved]);
    this.ends.push({ task: run.task, number: run.number, how, atMs: Date.now() });
    this.#log(`${run.task} run ${run.number} ended: ${how}`);
    if (run.gangKey !== undefined) {
      this.options.gangs.leave(run, how);
    }
  }

  #log(text) {
    this.options.recorder.log(`runner ${this.id}: ${text}`);
  }
}
