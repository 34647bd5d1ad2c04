import * as assert from "uvu/assert";
import { describe, it } from "../../testing/index.ts";
import {
  FractionRetryBudget,
  NoRetryBudget,
  type RetryBudget,
  UnlimitedRetryBudget,
} from "./retry_budget.ts";

function countRetries(
  budget: RetryBudget,
  requestCount: number,
  nowMs: number,
): number {
  let retryCount = 0;
  for (let index = 0; index < requestCount; index += 1) {
    budget.recordRequest(nowMs);
    retryCount += Number(budget.takeRetry(nowMs));
  }
  return retryCount;
}

describe("RetryBudget", () => {
  describe("when every request fails", () => {
    const cases: readonly {
      readonly title: string;
      readonly budget: RetryBudget;
      readonly retryCount: number;
    }[] = [
      {
        title: "a fraction",
        budget: new FractionRetryBudget(),
        retryCount: 100,
      },
      {
        title: "no limit",
        budget: new UnlimitedRetryBudget(),
        retryCount: 1_000,
      },
      { title: "none", budget: new NoRetryBudget(), retryCount: 0 },
    ];
    for (const { title, budget, retryCount } of cases) {
      it(`${title}: ${retryCount} of 1,000`, () => {
        assert.is(countRetries(budget, 1_000, 0), retryCount);
      });
    }
  });

  it("allows a few retries when there are few requests", () => {
    assert.is(countRetries(new FractionRetryBudget(), 5, 0), 3);
  });

  it("forgets requests and retries of earlier windows", () => {
    const budget = new FractionRetryBudget({ windowMs: 1_000 });
    assert.is(countRetries(budget, 100, 0), 10);
    assert.is(countRetries(budget, 1, 500), 0);
    assert.is(countRetries(budget, 5, 5_000), 3);
  });
});
