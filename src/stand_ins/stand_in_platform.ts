/** A stand-in of the platform's HTTP API with injectable faults. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import * as v from "valibot";
import { commandBodySchema } from "../adapters/platform/index.ts";
import {
  type Clock,
  type Random,
  type TaskAction,
  taskActionSchema,
} from "../ports/index.ts";
import { PlatformModel } from "./platform_model.ts";

const PERCENT = 100;
const COMMAND_PATH = /^\/v1\/(vms|tasks)\/([^/]+)\/([a-z]+)$/;

/** Faults of requests; each probability is in percent. */
export interface AnswerFaults {
  /**
   * The request is carried out, but the connection is closed without an answer.
   */
  readonly lostPercent: number;
  /** The request is carried out, but the answer has status 503. */
  readonly failedPercent: number;
  /** The answer is delayed by {@link AnswerFaults.lateMs}. */
  readonly latePercent: number;
  /** The command is carried out twice. */
  readonly doubledPercent: number;
  /**
   * The answer is that of another command, which is invalid for a list request.
   */
  readonly wrongPercent: number;
  /** Delay of late answers, in milliseconds. */
  readonly lateMs: number;
}

const NO_FAULTS: AnswerFaults = {
  lostPercent: 0,
  failedPercent: 0,
  latePercent: 0,
  doubledPercent: 0,
  wrongPercent: 0,
  lateMs: 3_000,
};

/** Options of {@link StandInPlatform}. */
export interface StandInPlatformOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Duration of a reboot, in milliseconds. */
  readonly rebootMs?: number;
}

/** Serves a {@link PlatformModel} over HTTP on loopback. */
export class StandInPlatform {
  /** The VMs and tasks that the API controls. */
  readonly model: PlatformModel;
  readonly #options: StandInPlatformOptions;
  readonly #server: Server;
  #faults = NO_FAULTS;
  #url = "";

  constructor(options: StandInPlatformOptions) {
    this.#options = options;
    this.model = new PlatformModel(options);
    this.#server = createServer((incoming, response) => {
      this.#serve(incoming, response).catch(() => response.destroy());
    });
  }

  /** URL of the API, for the setting `platformUrl`. */
  get url(): string {
    return this.#url;
  }

  /** Sets the faults from now on; faults that are not given are off. */
  setFaults(faults: Partial<AnswerFaults>): void {
    this.#faults = { ...NO_FAULTS, ...faults };
  }

  /**
   * Starts to listen on the loopback interface.
   *
   * @param port - Port to listen on; 0 for a free one.
   */
  async start(port = 0): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
    const address = this.#server.address();
    if (typeof address === "object" && address !== null) {
      this.#url = `http://127.0.0.1:${address.port}`;
    }
  }

  /** Closes the port. */
  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const value = incoming.method === "GET"
      ? await this.#list(incoming.url ?? "")
      : await this.#command(incoming);
    if (this.#happens(this.#faults.latePercent)) {
      await this.#options.clock.sleep(this.#faults.lateMs);
    }
    if (this.#happens(this.#faults.lostPercent)) {
      response.destroy();
      return;
    }
    if (this.#happens(this.#faults.failedPercent)) {
      response.writeHead(503).end("{}");
      return;
    }
    if (value === undefined) {
      response.writeHead(404).end("{}");
      return;
    }
    const body = this.#happens(this.#faults.wrongPercent)
      ? { subject: "vms/another", operationId: "another" }
      : value;
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }

  async #list(path: string): Promise<unknown> {
    const listed = path === "/v1/vms"
      ? (await this.model.listVms()).map((vms) => ({ vms }))
      : (await this.model.listTasks()).map((tasks) => ({ tasks }));
    return listed.isOk ? listed.value : undefined;
  }

  async #command(incoming: IncomingMessage): Promise<unknown> {
    const { operationId } = v.parse(
      commandBodySchema,
      JSON.parse(await readText(incoming)),
    );
    const [, kind = "", name = "", action = ""] =
      COMMAND_PATH.exec(incoming.url ?? "") ?? [];
    const times = this.#happens(this.#faults.doubledPercent) ? 2 : 1;
    for (let time = 0; time < times; time += 1) {
      await this.#carryOut(kind, decodeURIComponent(name), action, operationId);
    }
    return { subject: `${kind}/${name}`, operationId };
  }

  async #carryOut(
    kind: string,
    name: string,
    action: string,
    operationId: string,
  ): Promise<void> {
    if (kind === "tasks") {
      const known: TaskAction = v.parse(taskActionSchema, action);
      await this.model.actOnTask(name, known, operationId);
    } else if (action === "drain") {
      await this.model.drain(name, operationId);
    } else if (action === "reboot") {
      await this.model.reboot(name, operationId);
    } else if (action === "undrain") {
      await this.model.undrain(name, operationId);
    }
  }

  #happens(percent: number): boolean {
    return percent > 0 && this.#options.random.nextInt(PERCENT) < percent;
  }
}

async function readText(incoming: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of incoming.setEncoding("utf8")) {
    text += chunk;
  }
  return text;
}
