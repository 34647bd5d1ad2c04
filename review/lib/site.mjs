/** Runs the project's programs as separate processes on loopback, for the cases. */
import { spawn } from "node:child_process";
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Writes `record.txt` in the folder of the case. */
export class Recorder {
  constructor(folder) {
    this.file = join(folder, "record.txt");
    this.startedMs = Date.now();
    writeFileSync(this.file, `trouble: ${HAS_TROUBLE}\n`);
  }

  log(text) {
    const line = `${((Date.now() - this.startedMs) / 1000).toFixed(3)} ${text}`;
    appendFileSync(this.file, `${line}\n`);
    process.stdout.write(`${line}\n`);
  }
}

/** Sends one request; resolves with a status, or with an error text. */
export function call(address, method, path, options = {}) {
  const { body, headers = {}, timeoutMs = 1_000 } = options;
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = http.request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", (error) => finish({ error: String(error) }));
      response.on("end", () => {
        const answer = Buffer.concat(chunks).toString();
        finish({ status: response.statusCode, body: parse(answer) });
      });
    });
    const timer = setTimeout(() => {
      finish({ error: `no response within ${timeoutMs} ms` });
      request.destroy();
    }, timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on("error", (error) => finish({ error: String(error) }));
    request.end(text);
  });
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function readRunLine(role) {
  const file = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = file.split(`[roles.${role}]`)[1] ?? "";
  const line = /^run = "(.*)"$/m.exec(section)?.[1];
  return line.split(" ");
}

async function isFree(host, port) {
  return await new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A small deployment: controllers, entries, and the settings of each. */
export class Site {
  constructor(recorder, options = {}) {
    this.recorder = recorder;
    this.options = { controllerCount: 5, entryCount: 2, ...options };
    this.processes = [];
  }

  async start() {
    for (const name of ["SIGINT", "SIGTERM", "SIGHUP"]) {
      process.once(name, () => void this.stop().then(() => process.exit(2)));
    }
    process.on("uncaughtException", (error) => {
      void this.stop().then(() => process.exit(2));
      this.recorder.log(`the case failed: ${error.stack}`);
    });
    this.folder = await mkdtemp(join(tmpdir(), "review-site-"));
    await this.#chooseAddresses();
    const { controllerCount, entryCount } = this.options;
    for (let index = 0; index < controllerCount; index += 1) {
      await this.#prepare("controller", index);
    }
    for (let index = 0; index < entryCount; index += 1) {
      await this.#prepare("entry", index);
    }
    this.processes.forEach((each) => this.launch(each));
  }

  get controllers() {
    return this.processes.filter(({ role }) => role === "controller");
  }

  get entries() {
    return this.processes.filter(({ role }) => role === "entry");
  }

  host(number) {
    return `127.${this.subnet >> 8}.${this.subnet & 255}.${number}`;
  }

  launch(each) {
    const [program, ...args] = readRunLine(each.role);
    const child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? "/",
        LANG: "C",
        CARDAMOMSILL_BOOT: each.file,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    each.child = child;
    each.hasExited = false;
    each.log ??= "";
    const keep = (chunk) => {
      each.log = (each.log + chunk).slice(-4_000_000);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.once("exit", (code, signal) => {
      each.hasExited = true;
      each.exit = `code ${code}, signal ${signal}`;
      if (!each.isEnding) {
        each.ownEnds = (each.ownEnds ?? 0) + 1;
        this.recorder.log(`${each.name} ended by itself: ${each.exit}`);
      }
    });
  }

  signal(each, name) {
    if (!each.hasExited) {
      this.recorder.log(`${name} to ${each.name}`);
      each.isEnding ||= name === "SIGKILL" || name === "SIGTERM";
      each.child.kill(name);
    }
  }

  /** Finds the controller that leads, by the lines of its log. */
  findLeader() {
    return this.controllers.filter(({ hasExited }) => !hasExited).find((each) =>
      each.log.lastIndexOf("schedules from now on") >
        each.log.lastIndexOf("stopped scheduling")
    );
  }

  /** Waits until a controller leads. */
  async waitForLeader(withinMs = 30_000) {
    const untilMs = Date.now() + withinMs;
    while (Date.now() < untilMs) {
      const leader = this.findLeader();
      if (leader !== undefined) {
        return leader;
      }
      await sleep(50);
    }
    return undefined;
  }

  async stop() {
    for (const each of this.processes) {
      each.isEnding = true;
      if (each.child !== undefined && !each.hasExited) {
        each.child.kill("SIGKILL");
      }
    }
    for (const each of this.processes) {
      for (let tries = 0; tries < 100 && !each.hasExited; tries += 1) {
        await sleep(20);
      }
    }
    await rm(this.folder, { recursive: true, force: true });
  }

  async #chooseAddresses() {
    for (let tries = 0; tries < 100; tries += 1) {
      this.subnet = (1 + Math.floor(Math.random() * 200)) * 256 +
        1 + Math.floor(Math.random() * 250);
      this.firstPort = 20_000 + Math.floor(Math.random() * 9_000);
      const checks = await Promise.all(
        [0, 1, 2, 3, 4].map((at) => isFree(this.host(1), this.firstPort + at)),
      );
      if (checks.every(Boolean)) {
        return;
      }
    }
    throw new Error("no free addresses");
  }

  async #prepare(role, index) {
    const name = `${role}-${index}`;
    const host = this.host((role === "controller" ? 1 : 50) + index);
    const folder = join(this.folder, name);
    await mkdir(folder);
    const port = this.firstPort;
    const seeds = Array.from(
      { length: Math.min(3, this.options.controllerCount) },
      (_, at) => `${this.host(1 + at)}:${port}`,
    );
    const zones = this.options.zones ?? ["zone-a", "zone-b", "zone-c"];
    const settings = {
      entryId: host,
      nodeName: name,
      zone: zones[index % zones.length],
      peerPort: port + 3,
      seedAddresses: seeds,
      mayBootstrap: true,
      ...(role === "controller"
        ? {
          dataFolder: folder,
          operatorAddress: `${host}:${port}`,
          ...(this.options.vmControl === undefined
            ? {}
            : { vmControl: this.options.vmControl }),
        }
        : {
          callerAddress: `${host}:${port + 1}`,
          readinessAddress: `${host}:${port + 2}`,
        }),
      inspectionAddress: `${host}:${port + 4}`,
      orderMode: "invoke",
      stopGraceSeconds: 6,
    };
    const file = join(folder, "settings.json");
    await writeFile(file, JSON.stringify(settings));
    this.processes.push({
      role,
      name,
      host,
      file,
      folder,
      control: `${host}:${port}`,
      front: `${host}:${port + 1}`,
      inspection: `${host}:${port + 4}`,
    });
  }
}

/** An operator: sends an order to one controller after another. */
export class Operator {
  constructor(site, recorder) {
    this.site = site;
    this.recorder = recorder;
  }

  /**
   * Sends an order until it is acknowledged or refused.
   *
   * @param path - Path of the order.
   * @param body - Its body; none for evacuations.
   * @param options - The controllers to try first, and for how long at most.
   * @returns The last answer.
   */
  async order(path, body, options = {}) {
    const { first = [], withinMs = 60_000, quiet = false } = options;
    const { controllers } = this.site;
    const targets = [...first];
    const untilMs = Date.now() + withinMs;
    let backOffMs = 100;
    let answer = { error: "not sent" };
    while (Date.now() < untilMs && !options.isOver?.()) {
      const target = targets.shift() ??
        controllers[Math.floor(Math.random() * controllers.length)];
      if (!quiet) {
        this.recorder.log(`operator: POST ${path} to ${target.name}`);
      }
      answer = await call(target.control, "POST", path, {
        body,
        timeoutMs: options.timeoutMs ?? 1_000,
      });
      if (!quiet || answer.status !== 200) {
        this.recorder.log(
          `operator: ${path} ${
            answer.status === undefined ? answer.error : answer.status
          } (${target.name})`,
        );
      }
      if (answer.status !== undefined && answer.status < 500) {
        return answer;
      }
      await sleep(backOffMs);
      backOffMs = Math.min(backOffMs * 2, 1_000);
    }
    return answer;
  }
}

/** Sends a client's call to an entry until it gets a clear answer. */
export async function submit(site, options) {
  const { host, path, key, body, withinMs = 15_000, method = "POST" } = options;
  const untilMs = Date.now() + withinMs;
  let answer = { error: "not sent" };
  for (let at = 0; Date.now() < untilMs; at += 1) {
    const entry = site.entries[at % site.entries.length];
    answer = await call(entry.front, method, path, {
      body,
      timeoutMs: 3_000,
      headers: {
        host,
        "x-request-deadline": "3000",
        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
      },
    });
    if (answer.status !== undefined && answer.status < 500 &&
      answer.status !== 429) {
      return answer;
    }
    await sleep(200);
  }
  return answer;
}

// The record holds everything; a closed standard output must not end the case.
process.stdout.on("error", () => undefined);

/** Ends a case: stops everything and exits with the result. */
export async function finish(code, ...closing) {
  for (const close of closing) {
    await close();
  }
  process.exit(code);
}
