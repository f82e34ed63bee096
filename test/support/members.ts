import {
  InstanceMember,
  MemberState,
} from '../../src/infrastructure/membership/common/membershipList.js';

/** An instance as the platform's list shows it; its addresses are its id with the ports 1 to 3. */
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
