// Stand-in runner. It follows PROTOCOL.md: leases on its own clock, fencing,
// run numbers, the list of ended runs, gangs and heartbeats.
import { createServer } from "node:http";
import { call } from "./http.mjs";
import { Proxy } from "./proxy.mjs";

const MAX_HOLD_MS = 6000;
const GANG_WAIT_MS = 3000;
const STOP_MS = 50;
const HEARTBEAT_MS = 1500;
const TICK_MS = 10;
const MAX_ENDED_ROWS = 500;
const MAX_WAIT_MS = 2000;

/** A runner on a VM, behind a proxy that can cut it off from the project. */
export class Runner {
  /** Starts and ends of runs, oldest first. */
  events = [];
  /** Ends that a poll has let the runner forget, oldest first. */
  forgotten = [];
  /** Times at which no lease was in force (ms). */
  lapsedAtMs = [];
  #options;
  #server;
  #proxy;
  #timers = [];
  #bornAtMs = Date.now();
  #originMs = performance.now();
  #fence = 0;
  #leaseUntilMs = 0;
  #running = new Map();
  #lastRun = new Map();
  #endCount = 0;
  #ended = [];
  #sequence = 0;
  #control = 0;
  #heartbeatAddress;
  #isCut = false;
  #failsAll = false;
  #isDown = false;
  /** Delays of the next polls that delete ends, in milliseconds. */
  #pollDelaysMs = [];

  /**
   * @param options - id, vm, host, pool, zone, rack, kind, cpu, memMb, the addresses of
   * the controllers, the gangs of the site and the record.
   */
  constructor(options) {
    this.#options = options;
    this.#server = createServer(
      { keepAliveTimeout: 60000 },
      (request, response) => {
        void this.#answer(request, response);
      },
    );
  }

  get id() {
    return this.#options.id;
  }

  get vm() {
    return this.#options.vm;
  }

  get zone() {
    return this.#options.zone;
  }

  get kind() {
    return this.#options.kind;
  }

  get pool() {
    return this.#options.pool;
  }

  get capacity() {
    const { cpu, memMb } = this.#options;
    return { cpu, mem_mb: memMb, gpus: 0 };
  }

  /** Tasks that run now. */
  get running() {
    return [...this.#running.values()];
  }

  async start() {
    const { host } = this.#options;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, resolve);
    });
    this.#proxy = new Proxy({ host, port: this.#server.address().port });
    this.address = `${host}:${await this.#proxy.listen(host)}`;
    this.#timers.push(setInterval(() => this.#tick(), TICK_MS));
    this.#timers.push(setInterval(() => void this.#heartbeat(), HEARTBEAT_MS));
    void this.#heartbeat();
  }

  async stop() {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#server.closeAllConnections();
    this.#server.close();
    await this.#proxy?.close();
  }

  /** Cuts the runner off from all processes of the project; it runs on. */
  cut() {
    this.#isCut = true;
    this.#proxy.cut();
    this.#options.record.add(`runner ${this.id}: cut off`);
  }

  heal() {
    this.#isCut = false;
    this.#options.record.add(`runner ${this.id}: reached again`);
    this.#proxy.heal();
  }

  /**
   * Leaves the next polls that let it forget ends without an answer; each is
   * carried out after its delay, also if the runner has started again by then.
   */
  delayPolls(delaysMs) {
    this.#pollDelaysMs = [...delaysMs];
  }

  /** Number of polls that are still to be delayed. */
  get delayCount() {
    return this.#pollDelaysMs.length;
  }

  /** Ends with all that it runs, and starts again under its id. */
  async restart(downMs) {
    const { record } = this.#options;
    record.add(`runner ${this.id}: crashes`);
    this.#isDown = true;
    this.#proxy.reset();
    for (const run of this.running) {
      this.#running.delete(run.task);
      this.#note("end", run, "crashed");
    }
    this.#fence = 0;
    this.#leaseUntilMs = 0;
    this.#lastRun.clear();
    this.#endCount = 0;
    this.#ended = [];
    this.#sequence = 0;
    this.#heartbeatAddress = undefined;
    await new Promise((resolve) => setTimeout(resolve, downMs));
    this.#bornAtMs = Date.now();
    this.#originMs = performance.now();
    this.#isDown = false;
    record.add(`runner ${this.id}: started again, born ${this.#bornAtMs}`);
    void this.#heartbeat();
  }

  /** Lets all runs fail that begin to work on this runner, or ends that. */
  failAll(failsAll) {
    this.#failsAll = failsAll;
    this.#options.record.add(
      `runner ${this.id}: ${
        failsAll ? "fails all that it starts" : "sound again"
      }`,
    );
  }

  get #clockMs() {
    return Math.floor(performance.now() - this.#originMs);
  }

  async #answer(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    if (this.#isDown) {
      request.socket.destroy();
      return;
    }
    const bornAtMs = this.#bornAtMs;
    if (this.#delayPoll(request, text)) {
      return;
    }
    const { status, body } = await this.#handle(request, text);
    if (bornAtMs !== this.#bornAtMs || this.#isDown) {
      request.socket.destroy();
      return;
    }
    const answer = JSON.stringify({
      clock_ms: this.#clockMs,
      born: this.#bornAtMs,
      ...body,
    });
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(answer),
    });
    response.end(answer);
  }

  #delayPoll(request, text) {
    const isDelayed = request.url === "/v1/hold" &&
      this.#pollDelaysMs.length > 0 && JSON.parse(text).ack_cursor > 0;
    if (isDelayed) {
      const delayMs = this.#pollDelaysMs.shift();
      const { record } = this.#options;
      record.add(`runner ${this.id}: no answer to ${text}`);
      setTimeout(() => {
        record.add(`runner ${this.id}: carries out, late: ${text}`);
        void this.#handle(request, text);
      }, delayMs);
    }
    return isDelayed;
  }

  async #handle(request, text) {
    if (request.headers["x-target-instance"] !== this.id) {
      return { status: 421, body: {} };
    }
    const body = JSON.parse(text);
    const fence = body.fencing_token ?? 0;
    if (fence < this.#fence) {
      return { status: 409, body: { reason: "fence" } };
    }
    this.#fence = fence;
    switch (request.url) {
      case "/v1/run-start":
        return this.#startRun(body);
      case "/v1/run-stop":
        return this.#stopRun(body);
      case "/v1/hold":
        return await this.#hold(body);
      case "/v1/pace":
        return { status: 200, body: {} };
      default:
        return { status: 400, body: {} };
    }
  }

  #startRun(
    { task, run_id: runNumber, spec, until_ms: untilMs, checkpoint = "" },
  ) {
    const known = this.#running.get(task);
    if (untilMs <= this.#clockMs) {
      return this.#refuse(task, runNumber, "late");
    }
    this.#extendLease(untilMs);
    if (known?.runNumber === runNumber) {
      return { status: 200, body: {} };
    }
    if (known !== undefined || runNumber <= (this.#lastRun.get(task) ?? 0)) {
      return this.#refuse(task, runNumber, "old");
    }
    const work = JSON.parse(spec);
    const run = {
      task,
      runNumber,
      checkpoint,
      work,
      startedAtMs: performance.now(),
      workMs: findWorkMs(task, work),
    };
    run.begin = () => {
      run.workingSinceMs = performance.now();
      if (this.#failsAll) {
        setTimeout(() => this.#endRun(run, "failed"), work.failMs);
      }
    };
    run.finish = (how) => this.#endRun(run, how);
    this.#running.set(task, run);
    this.#note(
      "start",
      run,
      checkpoint === "" ? "" : `checkpoint ${checkpoint}`,
    );
    const isGang = isGangTask(run);
    if (isGang) {
      this.#options.gangs.join(run);
    } else {
      run.begin();
    }
    return { status: 200, body: {} };
  }

  #refuse(task, runNumber, reason) {
    this.#options.record.add(
      `runner ${this.id}: refused ${task}#${runNumber}: ${reason}`,
    );
    return { status: 409, body: { reason } };
  }

  #stopRun({ task, run_id: runNumber }) {
    const run = this.#running.get(task);
    this.#lastRun.set(task, Math.max(this.#lastRun.get(task) ?? 0, runNumber));
    if (run !== undefined && run.runNumber <= runNumber && !run.isStopping) {
      run.isStopping = true;
      setTimeout(() => this.#endRun(run, "stopped"), STOP_MS);
    }
    return { status: 200, body: {} };
  }

  async #hold(
    { ack_cursor: cursor = 0, until_ms: untilMs, wait_ms: waitMs = 0 },
  ) {
    for (const [position, task, runNumber, how] of this.#ended) {
      if (position <= cursor) {
        const { nowMs: atMs } = this.#options.record;
        this.forgotten.push({ task, runNumber, how, atMs });
      }
    }
    this.#ended = this.#ended.filter(([position]) => position > cursor);
    if (untilMs !== undefined) {
      this.#extendLease(untilMs);
    }
    const endMs = performance.now() + Math.min(waitMs, MAX_WAIT_MS);
    while (this.#ended.length === 0 && performance.now() < endMs) {
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    }
    const running = this.running.map((run) => [
      run.task,
      run.runNumber,
      run.checkpoint,
      this.#findPercent(run),
      0,
    ]);
    return {
      status: 200,
      body: { running, finished: this.#ended.slice(0, MAX_ENDED_ROWS) },
    };
  }

  #findPercent({ workMs, workingSinceMs }) {
    const workedMs = workingSinceMs === undefined
      ? 0
      : performance.now() - workingSinceMs;
    return Math.min(100, Math.floor(100 * workedMs / workMs));
  }

  #extendLease(untilMs) {
    const boundedMs = Math.min(untilMs, this.#clockMs + MAX_HOLD_MS);
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, boundedMs);
  }

  #tick() {
    const hasLapsed = this.#clockMs > this.#leaseUntilMs;
    if (hasLapsed) {
      this.lapsedAtMs.push(this.#options.record.nowMs);
    }
    for (const run of this.running) {
      const workedMs = run.workingSinceMs === undefined
        ? -1
        : performance.now() - run.workingSinceMs;
      if (hasLapsed) {
        this.#endRun(run, "lapsed");
      } else if (workedMs >= run.workMs) {
        this.#endRun(run, "done");
      } else if (
        workedMs < 0 && performance.now() - run.startedAtMs > GANG_WAIT_MS
      ) {
        this.#endRun(run, "alone");
      }
    }
  }

  #endRun(run, how) {
    if (this.#running.get(run.task) !== run) {
      return;
    }
    this.#running.delete(run.task);
    this.#lastRun.set(
      run.task,
      Math.max(this.#lastRun.get(run.task) ?? 0, run.runNumber),
    );
    this.#endCount += 1;
    const saved = how === "done" ? "" : run.checkpoint;
    this.#ended.push([this.#endCount, run.task, run.runNumber, how, saved]);
    this.#note("end", run, how);
    if (isGangTask(run)) {
      this.#options.gangs.leave(run, how);
    }
  }

  #note(type, { task, runNumber, checkpoint }, detail) {
    const { record } = this.#options;
    const atMs = record.nowMs;
    this.events.push({
      type,
      runnerId: this.id,
      task,
      runNumber,
      checkpoint,
      how: detail,
      atMs,
    });
    record.add(
      `runner ${this.id}: ${type} ${task}#${runNumber} ${detail}`.trimEnd(),
    );
  }

  async #heartbeat() {
    if (this.#isCut || this.#isDown) {
      return;
    }
    const { controls, kind, pool, rack, zone } = this.#options;
    const address = this.#heartbeatAddress ??
      controls[this.#control % controls.length];
    this.#sequence += 1;
    const answer = await call(
      "POST",
      address,
      `/v1/Instances.Heartbeat/${this.id}`,
      {
        timeoutMs: 1000,
        body: {
          service: pool,
          address: this.address,
          zone,
          version: "v1",
          slots: 8,
          state: "ready",
          cold_remaining_ms: 0,
          capacity: this.capacity,
          labels: [kind, rack],
          clock_ms: this.#clockMs,
          born: this.#bornAtMs,
          sequence: this.#sequence,
        },
      },
    );
    if (answer.status >= 200 && answer.status < 300) {
      this.#heartbeatAddress = answer.body?.heartbeat_url ??
        this.#heartbeatAddress;
    } else {
      this.#heartbeatAddress = undefined;
      this.#control += 1;
    }
  }
}

// The tasks of a step may differ in length.
function findWorkMs(task, { spreadMs = 0, workMs }) {
  const index = Number(task.split(".")[3]);
  return workMs + spreadMs * ((index * 37) % 60) / 60;
}

function isGangTask({ task, work }) {
  return work.gangStep !== undefined &&
    Number(task.split(".")[2]) === work.gangStep;
}
