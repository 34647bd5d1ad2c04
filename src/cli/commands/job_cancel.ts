/** `cardamomsill job cancel ID`: cancels a job. */
import { Command, Option } from "clipanion";
import type { Result } from "true-myth";
import type { Failure } from "../../domain/index.ts";
import { type ApiClient, jobResponseSchema } from "../api/index.ts";
import { ApiCommand, type CommandOutput } from "../api_command.ts";

/** Cancels a job. */
export class JobCancelCommand extends ApiCommand {
  static override paths = [["job", "cancel"]];
  static override usage = Command.Usage({
    description: "Cancel a job: its tasks are stopped within seconds.",
    examples: [["Cancel", "cardamomsill job cancel 0123456789abcdef"]],
  });

  id = Option.String({ required: true });

  override async run(
    client: ApiClient,
  ): Promise<Result<CommandOutput, Failure>> {
    const response = await client.delete(
      `/v1/jobs/${this.id}`,
      jobResponseSchema,
    );
    return response.map((value) => ({
      value,
      text: `job/${this.id} is ${value.state}\n`,
    }));
  }
}
