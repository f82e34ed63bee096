import {fairLevel} from './maxMinShare.js';
import {ShareView, WorkEstimate} from './routing.js';

/** How a client account's recent usage relates to its fair share at one owner. */
export interface FairShareStatus {
  /**
   * Usage beyond the fair share, the work of one request and the variance allowance, relative to the
   * fair share; 0 or less if within.
   */
  readonly excess: number;
  /** Fraction of the recently demanded slot time that was not granted, 0 to 1. */
  readonly contention: number;
}

interface AccountUsage {
  readonly account: string;
  readonly demand: number;
  readonly usage: number;
}

/** Accounts of a class. Demand is at least the usage. */
function accountsInClass(
  shares: ShareView,
  classOfWork: string,
): AccountUsage[] {
  const prefix = `${classOfWork}/`;
  const accounts: AccountUsage[] = [];
  for (const [key, demand] of shares.demandByAccount) {
    if (!key.startsWith(prefix)) {
      continue;
    }
    const usage = shares.usedByAccount.get(key) ?? 0;
    const account = key.slice(prefix.length);
    accounts.push({account, demand: Math.max(demand, usage), usage});
  }
  return accounts;
}

function sumOf(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) {
    total += value;
  }
  return total;
}

/** Slot time demanded by each class. */
function demandByClass(shares: ShareView): Map<string, number> {
  const demand = new Map<string, number>();
  for (const [key, amount] of shares.demandByAccount) {
    const name = key.slice(0, key.lastIndexOf('/'));
    demand.set(name, (demand.get(name) ?? 0) + amount);
  }
  return demand;
}

/** Weight of a class: its target rate times the mean work of its requests, as far as known. */
function classWeight(shares: ShareView, classOfWork: string): number {
  const target = shares.targetRateByClass.get(classOfWork) ?? 0;
  const work = shares.workByClass?.get(classOfWork) ?? 1;
  return Math.max(target * work, 1e-9);
}

/** Fair share of a class in the observed capacity: max-min over classes, weighted by their targets. */
function fairShareOfClass(shares: ShareView, classOfWork: string): number {
  const capacity = sumOf(shares.usedByClass.values());
  const demand = demandByClass(shares);
  const claimants = [...demand].map(([name, amount]) => ({
    demand: amount,
    weight: classWeight(shares, name),
  }));
  const level = fairLevel(claimants, capacity);
  const fairShare = level * classWeight(shares, classOfWork);
  return Math.min(demand.get(classOfWork) ?? 0, fairShare);
}

/** Whether an account is within its fair share over all classes taken together. */
function isWithinOverallShare(shares: ShareView, account: string): boolean {
  const totals = new Map<string, {demand: number; usage: number}>();
  for (const [key, demand] of shares.demandByAccount) {
    const name = key.slice(key.lastIndexOf('/') + 1);
    const usage = shares.usedByAccount.get(key) ?? 0;
    const previous = totals.get(name) ?? {demand: 0, usage: 0};
    totals.set(name, {
      demand: previous.demand + Math.max(demand, usage),
      usage: previous.usage + usage,
    });
  }
  const claimants = [...totals.values()].map(({demand}) => ({
    demand,
    weight: 1,
  }));
  const level = fairLevel(claimants, sumOf(shares.usedByClass.values()));
  return (totals.get(account)?.usage ?? 0) <= level;
}

/**
 * Excess over the share of a class that random variation explains: the mean request work times the
 * square root of the number of requests, or 0 if the account exceeds its share over all classes.
 */
function varianceAllowance(
  shares: ShareView,
  account: string,
  fairShare: number,
  requestWork: number,
): number {
  return isWithinOverallShare(shares, account)
    ? Math.sqrt(requestWork * fairShare)
    : 0;
}

/**
 * Compares the usage of the work's account with its fair share. The observed capacity in use is divided
 * over classes by target, then by max-min fairness over the accounts of the class. Neither capacity
 * nor account shares are configured.
 */
export function assessFairShare(
  shares: ShareView,
  work: WorkEstimate,
): FairShareStatus {
  const demand = sumOf(shares.demandByAccount.values());
  const usage = sumOf(shares.usedByClass.values());
  const contention = demand <= 0 ? 0 : Math.max(0, 1 - usage / demand);
  const classAccounts = accountsInClass(shares, work.classOfWork);
  const own = classAccounts.find(
    candidate => candidate.account === work.clientAccount,
  );
  if (own === undefined || contention === 0) {
    return {excess: 0, contention};
  }
  const claimants = classAccounts.map(account => ({
    demand: account.demand,
    weight: 1,
  }));
  const level = fairLevel(
    claimants,
    fairShareOfClass(shares, work.classOfWork),
  );
  const fairShare = Math.min(own.demand, level);
  const requestWork = shares.workByClass?.get(work.classOfWork) ?? 0;
  const excessWork = own.usage - fairShare - requestWork;
  const unexplainedExcess =
    excessWork <= 0
      ? excessWork
      : excessWork -
        varianceAllowance(shares, work.clientAccount, fairShare, requestWork);
  const excess =
    fairShare <= 0
      ? Math.sign(unexplainedExcess)
      : unexplainedExcess / fairShare;
  return {excess, contention};
}
