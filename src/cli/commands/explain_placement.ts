/** `cardamomsill explain placement QUEUE -f FILE`: explains where a job would go. */
import { Command, Option } from "clipanion";
import { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import { type ApiClient, explanationSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";
import { renderExplanation } from "../output/index.ts";
import { readJobFile } from "../read_job_file.ts";

/** Explains where the tasks of a job would start now, without submitting it. */
export class ExplainPlacementCommand extends ApiCommand {
  static override paths = [["explain", "placement"]];
  static override usage = Command.Usage({
    description: "Explain where a job would go now and why.",
    details: `
      QUEUE is given as for \`job submit\`. The file holds the job as for \`job submit\`. Nothing is submitted.
    `,
    examples: [
      [
        "The job of a team",
        "cardamomsill explain placement captures -f job.json --team lab",
      ],
    ],
  });

  queue = Option.String({ required: true });
  file = Option.String("-f,--file", { required: true });
  team = Option.String("--team", {
    description: "Name of the team that would submit the job",
  });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const work = await readJobFile(this.file);
    if (work.isErr) {
      return Result.err(work.error);
    }
    const team = this.team === undefined ? {} : { team: this.team };
    const explained = await client.post(
      "/v1/explain/placement",
      { queue: this.queue, ...team, work: { text: "", ...work.value } },
      explanationSchema,
    );
    return explained.map((value) => ({
      value,
      text: renderExplanation(value),
    }));
  }
}
