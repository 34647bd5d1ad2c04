/** Waits for the end of a job, and says how it gets on. */
import { Result } from "true-myth";
import { SystemClock } from "../adapters/clock/index.ts";
import type { Failure } from "../domain/index.ts";
import { type ApiClient, jobAnswerSchema } from "./api/index.ts";
import type { CommandOutput } from "./api_command.ts";

/** Pause between two questions, in milliseconds: people do not see less. */
const POLL_MS = 300;
const OPEN_STATES: ReadonlySet<string> = new Set(["queued", "running"]);

/** Options of {@link waitForJob}. */
export interface WaitForJobOptions {
  readonly client: Pick<ApiClient, "get">;
  readonly jobId: string;
  /** Takes a line whenever the state has changed. */
  readonly onProgress: (line: string) => void;
}

/**
 * Waits until a job has ended.
 *
 * @param options - The job, and who hears of its progress.
 * @returns How it ended, or the failure of a question.
 */
export async function waitForJob(
  { client, jobId, onProgress }: WaitForJobOptions,
): Promise<Result<CommandOutput, Failure>> {
  const clock = new SystemClock();
  let lastState: string | undefined;
  for (;;) {
    const answer = await client.get(`/v1/jobs/${jobId}`, jobAnswerSchema);
    if (answer.isErr) {
      return Result.err(answer.error);
    }
    const { state } = answer.value;
    if (!OPEN_STATES.has(state)) {
      return Result.ok({
        value: answer.value,
        text: `job/${jobId} is ${state}\n`,
      });
    }
    if (state !== lastState) {
      lastState = state;
      onProgress(`job/${jobId} is ${state}`);
    }
    await clock.sleep(POLL_MS);
  }
}
