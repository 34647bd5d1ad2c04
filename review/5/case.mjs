/**
 * A wave of two machines. For some seconds the provider's list has one machine's
 * entry from another writer, with a state that isn't named on the pages. The
 * machine stays, and its maintenance must begin before the wave is completed.
 */
import http from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createManifest } from "../lib/manifest.mjs";
import { Runner } from "../lib/runner.mjs";
import {
  call, finish, HAS_TROUBLE, Operator, Recorder, Site, sleep,
} from "../lib/site.mjs";

const MAINTENANCE_MS = 2_000;
const ODD_MS = 4_000;

const recorder = new Recorder(dirname(fileURLToPath(import.meta.url)));

/** The provider: machines, their list and their maintenance. */
class Provider {
  constructor(host, site) {
    this.host = host;
    this.site = site;
    this.machines = new Map();
    this.upkeeps = [];
    this.fences = new Map();
    this.oddMachine = undefined;
  }

  async start() {
    this.server = http.createServer((request, response) => {
      void this.#serve(request).then(({ status, body }) => {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
      });
    });
    await new Promise((resolve) => this.server.listen(0, this.host, resolve));
    this.address = `${this.host}:${this.server.address().port}`;
  }

  async addMachine(name, number) {
    const runner = new Runner({
      id: `i-${name}-0`, host: this.site.host(100 + number), pool: "bay",
      zone: "zone-a", site: this.site, recorder, rack: `r1-${number}`,
    });
    await runner.start();
    const machine = { name, number, state: "up", runner, life: 0 };
    this.machines.set(name, machine);
  }

  async end() {
    this.server.closeAllConnections();
    this.server.close();
    for (const { runner } of this.machines.values()) {
      if (!runner.isOver) {
        await runner.end();
      }
    }
  }

  async #serve(request) {
    let text = "";
    for await (const chunk of request) {
      text += chunk;
    }
    if (request.method === "GET") {
      return { status: 200, body: { machines: this.#list() } };
    }
    const fence = Number(request.headers["x-fencing-token"] ?? 0);
    const { machine: name, wave } = JSON.parse(text);
    const machine = this.machines.get(name);
    if (machine === undefined) {
      return { status: 400, body: {} };
    }
    if (fence < (this.fences.get(name) ?? 0)) {
      return { status: 409, body: { reason: "fence" } };
    }
    this.fences.set(name, fence);
    if (request.url !== "/v1/machine-upkeep") {
      return { status: 409, body: { reason: "busy" } };
    }
    if (this.upkeeps.includes(name)) {
      return { status: 200, body: {} };
    }
    recorder.log(`provider: upkeep of ${name} begins, wave ${wave}`);
    this.upkeeps.push(name);
    machine.state = "upkeep";
    await machine.runner.end();
    setTimeout(() => void this.#bringBack(machine), MAINTENANCE_MS);
    return { status: 200, body: {} };
  }

  async #bringBack(machine) {
    machine.life += 1;
    machine.runner = new Runner({
      ...machine.runner.options,
      id: `i-${machine.name}-${machine.life}`,
    });
    await machine.runner.start();
    machine.state = "up";
  }

  #list() {
    return [...this.machines.values()].map(({ name, state, runner }) => ({
      machine: name,
      pool: "bay",
      state: name === this.oddMachine ? "inspecting" : state,
      zone: "zone-a",
      labels: ["a", "r1-0"],
      capacity: { cpu: 64_000, mem_mb: 262_144, gpus: 0 },
      ...(state === "up" ? { id: runner.id } : {}),
    }));
  }
}

async function main(site, provider) {
  await site.start();
  const operator = new Operator(site, recorder);
  if (await site.waitForLeader() === undefined) {
    return 2;
  }
  const manifest = createManifest(1, ["bay"]);
  if ((await operator.order("/v1/Config.Replace", manifest)).status !== 200) {
    return 2;
  }
  for (const number of [0, 1, 2, 3, 4, 5]) {
    await provider.addMachine(`m-${number}`, number);
  }
  await sleep(3_000);
  provider.oddMachine = HAS_TROUBLE ? "m-1" : undefined;
  recorder.log(`provider: odd entry of ${provider.oddMachine}`);
  const wave = {
    wave: 1, machines: ["m-0", "m-1"], complete_by_s: 26, max_count: 1,
  };
  if ((await operator.order("/v1/wave-start", wave)).status !== 200) {
    return 2;
  }
  const oddUntilMs = Date.now() + ODD_MS;
  const untilMs = Date.now() + 30_000;
  let state;
  while (Date.now() < untilMs && state !== "completed") {
    await sleep(250);
    if (Date.now() > oddUntilMs && provider.oddMachine !== undefined) {
      recorder.log("provider: the odd entry is over");
      provider.oddMachine = undefined;
    }
    const target = site.controllers[Math.floor(Math.random() * 5)];
    const answer = await call(target.control, "GET", "/v1/wave-get/1");
    state = answer.body?.state ?? state;
  }
  recorder.log(
    `wave 1 is ${state}; upkeeps that have begun: ${provider.upkeeps}`,
  );
  if (state !== "completed") {
    return 2;
  }
  await sleep(3_000);
  recorder.log(`3 s later: ${provider.upkeeps}; m-1 is still there`);
  return provider.upkeeps.includes("m-1") ? 0 : 1;
}

const site = new Site(recorder, {
  vmControl: { address: "127.0.0.1:1", orderRate: 64, listRate: 64 },
});
const provider = new Provider("127.0.0.1", site);
let code = 2;
try {
  await provider.start();
  site.options.vmControl.address = provider.address;
  code = await main(site, provider);
} catch (error) {
  recorder.log(`the case could not run: ${error.stack}`);
}
recorder.log(["the rule held", "the rule was broken", "not judged"][code]);
await finish(code, () => provider.end(), () => site.stop());
