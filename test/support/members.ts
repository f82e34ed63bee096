import {
  InstanceMember,
  MemberState,
} from '../../src/infrastructure/membership/common/membershipList.js';

/** A membership list entry of an instance; the addresses are the id as host name with the ports 1 to 3. */
export function instanceMember(
  id: string,
  state: MemberState = 'live',
): InstanceMember {
  return {
    role: 'instance',
    id,
    dataCentre: 'west-1',
    region: 'west',
    callerAddress: `${id}:1`,
    entryPeerAddress: `${id}:2`,
    controlAddress: `${id}:3`,
    state,
  };
}
