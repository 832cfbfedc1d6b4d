@0xc9a7b1d05e3f6a42;
# Datagrams of the membership protocol. Generated code is committed in
# generated/; run `capnp compile -oc++:generated gossip.capnp` after a change.
# In C++ a Brief is a MemberSummary, a Rumour a QuarantineNotice and a Message a
# Datagram.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sassafrasquay::gossipwire");

struct Brief {
  key @0 :UInt64;
  incarnation @1 :UInt64;
  revision @2 :UInt32;
  infoVersion @3 :UInt32;
  health @4 :UInt8;
  leaving @5 :Bool;
  cold @6 :Bool;
  targetLeaving @7 :Bool;
}


struct Record {
  brief @0 :Brief;
  id @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  region @4 :Text;
  zone @5 :Text;
  service @6 :Text;
  slots @7 :UInt32;
  targetIncarnation @8 :UInt64;
  targetVersion @9 :Text;
}

struct Rumour {
  identity @0 :UInt64;
  crash @1 :UInt64;
  cleared @2 :Bool;
  remainingMs @3 :UInt32;
}

struct Message {
  kind @0 :UInt8;
  complete @1 :Bool;
  sender @2 :Brief;
  configVersion @3 :UInt64;
  sequence @4 :UInt64;
  targetAddress @5 :Text;
  targetPort @6 :UInt16;
  from @7 :UInt64;
  to @8 :UInt64;
  briefs @9 :List(Brief);
  records @10 :List(Record);
  rumours @11 :List(Rumour);
  digest @12 :List(UInt32);
  wanted @13 :List(UInt64);
  configEra @14 :UInt64;
  configRetained @15 :Bool;
  configNotice @16 :Bool; # the sender watches the operators' log
}
