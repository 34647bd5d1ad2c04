/** `cardamomsill job submit QUEUE -f FILE`: submits a job. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import { type ApiClient, jobResponseSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { readJobFile } from "../read_job_file.ts";
import { waitForJob } from "../wait_for_job.ts";

const JOB_ID_LENGTH = 16;

/** Submits a job, and with `--wait` waits for its end. */
export class JobSubmitCommand extends ApiCommand {
  static override paths = [["job", "submit"]];
  static override usage = Command.Usage({
    description: "Submit a job.",
    details: `
      QUEUE is the name of the queue, or its address (HOST/PREFIX) if several
      have that name. The file holds the job as JSON: \`steps\` with \`taskCount\`, \`needs\` and
      \`estimateMs\`, and the \`text\` that tasks get. The key file holds a key
      of the team. Submitting a job again with the same id does not create a
      second job.
    `,
    examples: [
      ["Submit", "cardamomsill job submit captures -f job.json"],
      [
        "Submit and wait",
        "cardamomsill job submit captures -f job.json --wait",
      ],
    ],
  });

  queue = Option.String({ required: true });
  file = Option.String("-f,--file", { required: true });
  id = Option.String("--id", {
    description: "Id of the job: 16 hexadecimal digits; random by default",
  });
  wait = Option.Boolean("--wait", false, {
    description: "Show progress until the job has ended",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const job = await readJobFile(this.file);
    if (job.isErr) {
      return Result.err(job.error);
    }
    const jobId = this.id ?? this.#createJobId();
    const submitted = await client.post(
      "/v1/jobs",
      { text: "", ...job.value, jobId, queue: this.queue },
      jobResponseSchema,
    );
    if (submitted.isErr || !this.wait) {
      return submitted.map((value) => ({
        value,
        text: `job/${jobId} is ${value.state}\n`,
      }));
    }
    return await waitForJob({
      client,
      jobId,
      onProgress: (line) => this.context.stderr.write(`${line}\n`),
    });
  }

  #createJobId(): string {
    return this.createOperationId().replaceAll("-", "").slice(0, JOB_ID_LENGTH);
  }
}
