import { Result } from "true-myth";
import * as assert from "uvu/assert";
import { createFailure } from "../../domain/index.ts";
import { TaskGroup } from "../../tasks/index.ts";
import {
  afterEach,
  beforeEach,
  describe,
  FakeClock,
  FakeLogger,
  it,
} from "../../testing/index.ts";
import { SeededRandom } from "../random/index.ts";
import { HttpServer } from "./http_server.ts";
import { addJobRoutes, type JobRoutesOptions } from "./job_routes.ts";

const HOST = "127.0.0.1";
const PLACEMENT = { queue: "captures", spec: { text: "", steps: [] } };

describe("job routes", () => {
  describe("explain where a job would go", () => {
    let tasks: TaskGroup;
    let url: string;
    let calls: { method: string; body: unknown; isRead: boolean | undefined }[];
    let answer: Result<unknown, ReturnType<typeof createFailure>>;

    beforeEach(async () => {
      const clock = new FakeClock();
      const logger = new FakeLogger();
      tasks = new TaskGroup({ clock, logger });
      calls = [];
      answer = Result.ok({ state: "starts" });
      const server = new HttpServer({
        host: HOST,
        port: 0,
        clock,
        logger,
        tasks,
      });
      const leader = {
        call: (method, body, _timeoutMs, options) => {
          calls.push({ method, body, isRead: options?.isRead });
          return Promise.resolve(answer);
        },
      } as JobRoutesOptions["leader"];
      addJobRoutes(server, {
        calls: undefined as never,
        leader,
        random: new SeededRandom(1),
      });
      url = `http://${HOST}:${await server.start()}/v1/explain/placement`;
    });

    afterEach(() => tasks.stop());

    async function post(body: string) {
      const response = await fetch(url, { method: "POST", body });
      return { status: response.status, body: await response.json() };
    }

    it("asks the leader with a read, so that nothing is sent", async () => {
      const response = await post(JSON.stringify(PLACEMENT));
      assert.equal(response, { status: 200, body: { state: "starts" } });
      assert.equal(calls, [{
        method: "scheduling.explainPlacement",
        body: PLACEMENT,
        isRead: true,
      }]);
    });

    it("answers with the failure of the leader", async () => {
      answer = Result.err(createFailure("notFound", "no queue captures"));
      assert.is((await post(JSON.stringify(PLACEMENT))).status, 404);
    });

    it("refuses a body that is no JSON without a call", async () => {
      assert.is((await post("{")).status, 400);
      assert.equal(calls, []);
    });
  });
});
