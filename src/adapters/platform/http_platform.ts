/** Platform port over HTTP. Lost and mismatched responses are failures. */
import { Result } from "true-myth";
import { Agent, request } from "undici";
import type * as v from "valibot";
import {
  createFailure,
  type Failure,
  validateWith,
} from "../../domain/index.ts";
import type {
  Platform,
  PlatformTask,
  PlatformVm,
  TaskAction,
} from "../../ports/index.ts";
import {
  commandAnswerSchema,
  taskListSchema,
  vmListSchema,
} from "./messages.ts";

const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 500;
const MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;
const CONNECTION_COUNT = 8;
const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Options of {@link HttpPlatform}. */
export interface HttpPlatformOptions {
  /** URL of the platform, from the setting `platformUrl`. */
  readonly url: string;
  /** Timeout of a call, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Calls the HTTP API of the platform. */
export class HttpPlatform implements Platform {
  readonly #options: HttpPlatformOptions;
  readonly #agent = new Agent({
    connections: CONNECTION_COUNT,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    maxResponseSize: MAX_ANSWER_BYTES,
  });

  constructor(options: HttpPlatformOptions) {
    this.#options = options;
  }

  async listVms(): Promise<Result<readonly PlatformVm[], Failure>> {
    const answer = await this.#call("GET", "/v1/vms", undefined, vmListSchema);
    return answer.andThen(({ vms }) =>
      rejectDuplicates(vms, vms.map(({ vm }) => vm))
    );
  }

  async listTasks(): Promise<Result<readonly PlatformTask[], Failure>> {
    const answer = await this.#call(
      "GET",
      "/v1/tasks",
      undefined,
      taskListSchema,
    );
    return answer.andThen(({ tasks }) =>
      rejectDuplicates(tasks, tasks.map(({ taskId }) => taskId))
    );
  }

  drain(vm: string, operationId: string): Promise<Result<void, Failure>> {
    return this.#command(`vms/${vm}`, "drain", operationId);
  }

  reboot(vm: string, operationId: string): Promise<Result<void, Failure>> {
    return this.#command(`vms/${vm}`, "reboot", operationId);
  }

  undrain(vm: string, operationId: string): Promise<Result<void, Failure>> {
    return this.#command(`vms/${vm}`, "undrain", operationId);
  }

  actOnTask(
    taskId: string,
    action: TaskAction,
    operationId: string,
  ): Promise<Result<void, Failure>> {
    const subject = `tasks/${encodeURIComponent(taskId)}`;
    return this.#command(subject, action, operationId);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #command(
    subject: string,
    action: string,
    operationId: string,
  ): Promise<Result<void, Failure>> {
    const path = `/v1/${subject}/${action}`;
    const body = { operationId };
    const answer = await this.#call("POST", path, body, commandAnswerSchema);
    return answer.andThen((commandAnswer) =>
      commandAnswer.operationId === operationId &&
        commandAnswer.subject === subject
        ? Result.ok<void, Failure>(undefined)
        : Result.err(
          createFailure(
            "outcomeUnknown",
            `the platform confirmed ${commandAnswer.subject} ${commandAnswer.operationId} instead of ${path} ${operationId}`,
          ),
        )
    );
  }

  async #call<TSchema extends v.GenericSchema>(
    method: "GET" | "POST",
    path: string,
    body: unknown,
    schema: TSchema,
  ): Promise<Result<v.InferOutput<TSchema>, Failure>> {
    try {
      const answer = await request(`${this.#options.url}${path}`, {
        dispatcher: this.#agent,
        method,
        headers: { "content-type": "application/json" },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(this.#options.timeoutMs ?? CALL_TIMEOUT_MS),
      });
      const value: unknown = await answer.body.json();
      return answer.statusCode >= FIRST_ERROR_STATUS
        ? Result.err(createStatusFailure(method, path, answer.statusCode))
        : validateWith(schema, value, {
          subject: `platform ${path}`,
          kind: "outcomeUnknown",
        });
    } catch (error) {
      const mayHaveRun = method === "POST" && !isNeverSent(error);
      return Result.err(
        createFailure(
          mayHaveRun ? "outcomeUnknown" : "peerUnreachable",
          `platformUrl ${this.#options.url} gave no valid response to ${path}: ${error}`,
          {
            remedy:
              "check the setting platformUrl, and that the platform is running",
          },
        ),
      );
    }
  }
}

// A proxy or the platform itself may fail after a command was carried out.
function createStatusFailure(
  method: "GET" | "POST",
  path: string,
  status: number,
): Failure {
  const mayHaveRun = method === "POST" && status >= FIRST_SERVER_ERROR_STATUS;
  return createFailure(
    mayHaveRun ? "outcomeUnknown" : "conflict",
    `the platform answered ${path} with status ${status}`,
  );
}

// Without a connection, no request was sent.
function isNeverSent(error: unknown): boolean {
  const code = error instanceof Error && "code" in error ? error.code : "";
  return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT";
}

// If a list contains the same name twice, neither item can be trusted.
function rejectDuplicates<T>(
  items: readonly T[],
  names: readonly string[],
): Result<readonly T[], Failure> {
  return new Set(names).size === names.length ? Result.ok(items) : Result.err(
    createFailure(
      "outcomeUnknown",
      "the platform listed the same item more than once",
    ),
  );
}
