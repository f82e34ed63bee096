import {fairLevel} from './maxMinShare.js';
import {ShareView, WorkEstimate} from './routing.js';

/** How a client account stands against its share at one owner. */
export interface ShareStanding {
  /** What was used beyond the fair share, one request's work and chance, over the share; 0 or less if within. */
  readonly excess: number;
  /** Share of the slot time wanted lately that was not granted, 0 to 1. */
  readonly contention: number;
}

interface AccountUse {
  readonly account: string;
  readonly wanted: number;
  readonly used: number;
}

/** Accounts of a class; what was granted counts as wanted. */
function accountsOf(shares: ShareView, classOfWork: string): AccountUse[] {
  const prefix = `${classOfWork}/`;
  const found: AccountUse[] = [];
  for (const [key, wanted] of shares.wantedByAccount) {
    if (!key.startsWith(prefix)) {
      continue;
    }
    const used = shares.usedByAccount.get(key) ?? 0;
    const account = key.slice(prefix.length);
    found.push({account, wanted: Math.max(wanted, used), used});
  }
  return found;
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) {
    total += value;
  }
  return total;
}

/** Slot time that each class wanted. */
function wantedByClass(shares: ShareView): Map<string, number> {
  const wanted = new Map<string, number>();
  for (const [key, amount] of shares.wantedByAccount) {
    const name = key.slice(0, key.lastIndexOf('/'));
    wanted.set(name, (wanted.get(name) ?? 0) + amount);
  }
  return wanted;
}

/** Weight of a class: its target rate times the work of its requests, as far as seen. */
function classWeight(shares: ShareView, classOfWork: string): number {
  const target = shares.targetByClass.get(classOfWork) ?? 0;
  const work = shares.workByClass?.get(classOfWork) ?? 1;
  return Math.max(target * work, 1e-9);
}

/** The part of the observed capacity that is due to a class: max-min by target over classes. */
function dueToClass(shares: ShareView, classOfWork: string): number {
  const capacity = sum(shares.usedByClass.values());
  const wanted = wantedByClass(shares);
  const claimants = [...wanted].map(([name, amount]) => ({
    wanted: amount,
    weight: classWeight(shares, name),
  }));
  const level = fairLevel(claimants, capacity);
  const due = level * classWeight(shares, classOfWork);
  return Math.min(wanted.get(classOfWork) ?? 0, due);
}

/** Whether an account is within its fair share over all classes taken together. */
function isWithinInAll(shares: ShareView, account: string): boolean {
  const totals = new Map<string, {wanted: number; used: number}>();
  for (const [key, wanted] of shares.wantedByAccount) {
    const name = key.slice(key.lastIndexOf('/') + 1);
    const used = shares.usedByAccount.get(key) ?? 0;
    const before = totals.get(name) ?? {wanted: 0, used: 0};
    totals.set(name, {
      wanted: before.wanted + Math.max(wanted, used),
      used: before.used + used,
    });
  }
  const claimants = [...totals.values()].map(({wanted}) => ({
    wanted,
    weight: 1,
  }));
  const level = fairLevel(claimants, sum(shares.usedByClass.values()));
  return (totals.get(account)?.used ?? 0) <= level;
}

/**
 * What an account may be beyond its part of a class by chance: the work of the root of its number
 * of requests, if it is within its share otherwise.
 */
function chance(
  shares: ShareView,
  account: string,
  due: number,
  grain: number,
): number {
  return isWithinInAll(shares, account) ? Math.sqrt(grain * due) : 0;
}

/**
 * Where the account of this work stands: capacity observed in use is divided over classes by
 * target, then max-min over the accounts of the class; nothing of it is configured.
 */
export function shareStanding(
  shares: ShareView,
  work: WorkEstimate,
): ShareStanding {
  const wanted = sum(shares.wantedByAccount.values());
  const used = sum(shares.usedByClass.values());
  const contention = wanted <= 0 ? 0 : Math.max(0, 1 - used / wanted);
  const accounts = accountsOf(shares, work.classOfWork);
  const own = accounts.find(one => one.account === work.clientAccount);
  if (own === undefined || contention === 0) {
    return {excess: 0, contention};
  }
  const claimants = accounts.map(one => ({wanted: one.wanted, weight: 1}));
  const level = fairLevel(claimants, dueToClass(shares, work.classOfWork));
  const due = Math.min(own.wanted, level);
  const grain = shares.workByClass?.get(work.classOfWork) ?? 0;
  const beyond = own.used - due - grain;
  const over =
    beyond <= 0
      ? beyond
      : beyond - chance(shares, work.clientAccount, due, grain);
  const excess = due <= 0 ? Math.sign(over) : over / due;
  return {excess, contention};
}
